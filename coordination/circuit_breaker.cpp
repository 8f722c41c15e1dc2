#include "coordination/circuit_breaker.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr Duration firstPause = std::chrono::milliseconds(100);

} // namespace

CircuitBreaker::CircuitBreaker(const Random &random)
    : random_(random)
    , backoff_(firstPause, firstPause, random)
{
}

void CircuitBreaker::setMaxOpenDuration(Duration longest)
{
    longest_ = longest;
    backoff_.setMaxDelay(longest);
}

bool CircuitBreaker::isClosed(TimePoint now) const
{
    return longest_ == Duration::zero() || now >= nextCallAt_;
}

void CircuitBreaker::onSuccess()
{
    backoff_.reset();
    nextCallAt_ = {};
}

void CircuitBreaker::onFailure(TimePoint now)
{
    const bool wasMadeBefore = now < nextCallAt_; // Before the last one failed.
    if (longest_ > Duration::zero() && !wasMadeBefore) {
        nextCallAt_ = now + backoff_.nextDelay();
    }
}

void CircuitBreaker::onPeersAnswered(TimePoint now, Duration window)
{
    if (now < nextCallAt_) {
        nextCallAt_ = std::min(nextCallAt_, now + randomUpTo(random_, window));
    }
}

} // namespace Lovageloft
