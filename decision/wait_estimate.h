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
    /// `initialRate` in tokens a second holds until something is measured; above 0.
    explicit WaitEstimate(double initialRate);

    /// Requests wait and no engine can take one. Repeated calls only move the time on.
    void onBlocked(TimePoint now);

    /// A request of `tokens` left for an engine.
    void onDispatched(std::int64_t tokens, TimePoint now);

    /// Nothing waits any more.
    void onEmptied(TimePoint now);

    /// Moves the time on while blocked, so that a standstill shows in the rate.
    void advance(TimePoint now);

    /// Tokens a second, at least 1.
    double rate() const;

    /// How long it takes until `tokens` have been dispatched.
    Duration waitFor(std::int64_t tokens) const;

private:
    double tokens_;
    double seconds_;
    TimePoint last_;
    bool isBlocked_ = false;
};

} // namespace Lovageloft
