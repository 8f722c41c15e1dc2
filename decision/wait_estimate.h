#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// Measures how fast a queue drains and estimates how long a backlog takes.
///
/// The rate is measured only while requests wait because the window of every engine is full. Under uneven load, such as an idle
/// weekend followed by a burst on Monday, idle time would count as a low rate and cause wrong refusals, and filling empty windows
/// would count as a high rate and admit requests that expire in the queue.
class WaitEstimate
{
public:
    /// What is assumed until a rate has been measured, and after a measured rate has become outdated.
    struct Assumption
    {
        double rate = 1; ///< Tokens per second; above 0.
        double seconds = 3; ///< Weight of the initial or outdated rate, in seconds of measurement.
        Duration staleAfter = std::chrono::minutes(10); ///< A rate is outdated after this time without a blocked queue.
    };

    explicit WaitEstimate(const Assumption &assumption);

    /// Requests wait and no engine can take one. Repeated calls only advance the time.
    void onBlocked(TimePoint now);

    /// A request of `tokens` was dispatched to an engine. Ignored unless blocked.
    void onDispatched(std::int64_t tokens, TimePoint now);

    /// A request of `tokens` was queued again without having reached an engine. Ignored unless blocked.
    void onRequeued(std::int64_t tokens);

    /// The queue is empty.
    void onEmptied(TimePoint now);

    /// Scales the rate by `factor`, clamped to [0.01, 100], after the capacity changed, for example because an engine joined or was
    /// lost. Measuring the change would take seconds in which too many or too few requests are admitted.
    void scale(double factor);

    /// Advances the time while blocked, so that the rate falls if nothing is dispatched.
    void advance(TimePoint now);

    bool isBlocked() const;

    /// Tokens per second, at least 1.
    double rate() const;

    /// Expected time until `tokens` have been dispatched.
    Duration waitFor(std::int64_t tokens) const;

private:
    Assumption assumption_;
    double tokens_; ///< Dispatched tokens, decayed.
    double seconds_; ///< Time in which they were dispatched, decayed likewise.
    TimePoint updatedAt_;
    bool isBlocked_ = false;
};

} // namespace Lovageloft
