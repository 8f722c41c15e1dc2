#include "coordination/outage_tracker.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// How much later than the last unanswered call the service may be taken to have returned. What is kept until others have written their entries again
/// would otherwise be kept too long after an outage in which calls hang.
constexpr Duration maxReturnDelay = std::chrono::milliseconds(600);

/// An unanswered call that was sent longer than this before the first answered one tells too little: entries that were about to be written again
/// would be given up.
constexpr Duration maxReturnUncertainty = std::chrono::milliseconds(1'500);

} // namespace

void OutageTracker::onUnanswered(TimePoint calledAt)
{
    unansweredCallAt_ = std::max(unansweredCallAt_, std::optional(calledAt));
    lastAnswerBeforeOutage_ = lastAnswerBeforeOutage_.value_or(lastAnswerAt_);
}

void OutageTracker::onOmitted()
{
    unansweredCallAt_.reset();
}

std::optional<OutageTracker::Outage> OutageTracker::onAnswered(TimePoint now)
{
    lastAnswerAt_ = now;
    if (!lastAnswerBeforeOutage_) {
        return std::nullopt;
    }
    const bool isDated = unansweredCallAt_ && now - *unansweredCallAt_ <= maxReturnUncertainty;
    const Outage outage{now - *lastAnswerBeforeOutage_, isDated ? std::min(now, *unansweredCallAt_ + maxReturnDelay) : now};
    lastAnswerBeforeOutage_.reset();
    unansweredCallAt_.reset();
    return outage;
}

} // namespace Lovageloft
