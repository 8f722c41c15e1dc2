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
{
}

void CallBreaker::setLongestPause(Duration longest)
{
    longest_ = longest;
}

bool CallBreaker::isClosed(TimePoint now) const
{
    return longest_ == Duration::zero() || now >= nextCallAt_;
}

void CallBreaker::onAnswer()
{
    pause_ = {};
    nextCallAt_ = {};
}

void CallBreaker::onFailure(TimePoint now)
{
    if (now < nextCallAt_) {
        return; // It was made before the last one failed.
    }
    pause_ = std::min(std::max(firstPause, 2 * pause_), longest_);
    nextCallAt_ = now + pause_ / 2 + drawn(pause_ / 2);
}

void CallBreaker::onOthersAnswered(TimePoint now, Duration window)
{
    if (now < nextCallAt_) {
        nextCallAt_ = std::min(nextCallAt_, now + drawn(window));
    }
}

Duration CallBreaker::drawn(Duration most)
{
    return Duration(randomBelow(random_, static_cast<std::size_t>(most.count()) + 1));
}

} // namespace Lovageloft
