#pragma once

#include "coordination/backoff.h"

namespace Lovageloft
{

/// A circuit breaker before a service that all hosts of a fleet call: after a call that failed none is made for a while, which doubles up to a
/// limit that grows with the fleet. While the service is away hundreds of hosts with several duties each would else keep calling it.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(const Random &random);

    /// Longest pause; with zero all calls are let through.
    void setMaxOpenDuration(Duration longest);

    bool isClosed(TimePoint now) const;
    void onSuccess();
    void onFailure(TimePoint now);

    /// Others are answered: the next call may come within this time.
    void onPeersAnswered(TimePoint now, Duration window);

private:
    Random random_;
    Backoff backoff_;
    Duration longest_{};
    TimePoint nextCallAt_;
};

} // namespace Lovageloft
