#include "coordination/call_breaker.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr Duration firstPause = std::chrono::milliseconds(100);

} // namespace

CallBreaker::CallBreaker(const Random &random)
    : random_(random)
    , backoff_(firstPause, firstPause, random)
{
}

void CallBreaker::setLongestPause(Duration longest)
{
    longest_ = longest;
    backoff_.setLongest(longest);
}

bool CallBreaker::isClosed(TimePoint now) const
{
    return longest_ == Duration::zero() || now >= nextCallAt_;
}

void CallBreaker::onAnswer()
{
    backoff_.reset();
    nextCallAt_ = {};
}

void CallBreaker::onFailure(TimePoint now)
{
    const bool wasMadeBefore = now < nextCallAt_; // Before the last one failed.
    if (longest_ > Duration::zero() && !wasMadeBefore) {
        nextCallAt_ = now + backoff_.next();
    }
}

void CallBreaker::onOthersAnswered(TimePoint now, Duration window)
{
    if (now < nextCallAt_) {
        nextCallAt_ = std::min(nextCallAt_, now + randomUpTo(random_, window));
    }
}

} // namespace Lovageloft
