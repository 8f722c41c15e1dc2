#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// How fast a queue drains, and from it how long a backlog lasts.
///
/// Made for uneven load: a quiet weekend, then a Monday burst. The rate is measured only over time in which requests wait
/// because every engine's window is full. Idle time would count as slowness, and filling empty windows as speed: the first
/// refuses the burst wrongly, the second lets in what then times out in the queue.
class WaitEstimate
{
public:
    /// What holds until something has been measured, and again when that is out of date.
    struct Assumption
    {
        double rate = 1; ///< Tokens a second; above 0.
        double seconds = 3; ///< The weight of the assumed or outdated rate, in seconds of measuring.
        Duration staleAfter = std::chrono::minutes(10); ///< A time without a blocked queue after which a rate is out of date.
    };

    explicit WaitEstimate(const Assumption &assumption);

    /// Requests wait and no engine can take one. Repeated calls only move the time on.
    void onBlocked(TimePoint now);

    /// A request of `tokens` left for an engine.
    void onDispatched(std::int64_t tokens, TimePoint now);

    /// A request of `tokens` came back without having reached an engine.
    void onRequeued(std::int64_t tokens);

    /// Nothing waits any more.
    void onEmptied(TimePoint now);

    /// The capacity changed to `factor` times what it was, as when an engine joined or was lost; above 0. The rate follows at
    /// once instead of over seconds in which too much or too little is let in.
    void scale(double factor);

    /// Moves the time on while blocked, so that a standstill shows in the rate.
    void advance(TimePoint now);

    bool isBlocked() const;

    /// Tokens a second, at least 1.
    double rate() const;

    /// How long it takes until `tokens` have been dispatched.
    Duration waitFor(std::int64_t tokens) const;

private:
    Assumption assumption_;
    double tokens_;
    double seconds_;
    TimePoint last_;
    bool isBlocked_ = false;
};

} // namespace Lovageloft
