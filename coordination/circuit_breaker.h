#pragma once

#include "coordination/backoff.h"

namespace Lovageloft
{

/// A circuit breaker for a service that all hosts of a fleet call: after a failed call no call is made for a time that doubles up to a
/// maximum, which grows with the fleet. Otherwise hundreds of hosts with several duties each would keep calling the service while it is
/// unavailable.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const Random &random);

    /// Sets the maximum time without calls after a failure; with zero, the default, all calls are allowed.
    void setMaxOpenDuration(Duration maxOpenDuration);

    /// Whether a call is allowed at `now`. Always true until setMaxOpenDuration() has been called.
    bool isClosed(TimePoint now) const;

    /// Records an answer from the service: closes the breaker and resets the time that doubles.
    void onSuccess();

    /// Records a failed call and opens the breaker. Ignored while it is open: such a call was started before the last failure.
    void onFailure(TimePoint now);

    /// Other hosts received answers: allows the next call at a random time within `window`, if it isn't allowed sooner.
    void onPeersAnswered(TimePoint now, Duration window);

private:
    Random random_;
    Backoff backoff_;
    Duration maxOpenDuration_{};
    TimePoint nextCallAt_;
};

} // namespace Lovageloft
