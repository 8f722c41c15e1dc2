#pragma once

#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// Tells from the calls of all duties to a service when it did not answer, and when it began to answer again. Not thread-safe; reads no clock.
class OutageTracker
{
public:
    struct Outage
    {
        Duration length{}; ///< From the last answer before it to the first one after it.
        TimePoint returnedAt; ///< When the service began to answer again, as far as it is known.
    };

    /// A call that was sent at `calledAt` got no answer.
    void onUnanswered(TimePoint calledAt);

    /// A call was left out, as others failed: nothing is known of the service at this time.
    void onOmitted();

    /// A call was answered. Returns the outage that ends with it, if there was one.
    std::optional<Outage> onAnswered(TimePoint now);

private:
    TimePoint lastAnswerAt_;
    std::optional<TimePoint> lastAnswerBeforeOutage_; ///< Only set while calls fail.
    std::optional<TimePoint> unansweredCallAt_; ///< While calls fail: when the last one was sent; nothing if one was left out since.
};

} // namespace Lovageloft
