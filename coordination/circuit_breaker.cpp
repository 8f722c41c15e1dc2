#include "coordination/circuit_breaker.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr Duration initialOpenDuration = std::chrono::milliseconds(100);

} // namespace

CircuitBreaker::CircuitBreaker(const Random &random)
    : random_(random)
    , backoff_(initialOpenDuration, initialOpenDuration, random)
{
}

void CircuitBreaker::setMaxOpenDuration(Duration maxOpenDuration)
{
    maxOpenDuration_ = maxOpenDuration;
    backoff_.setMaxDelay(maxOpenDuration);
}

bool CircuitBreaker::isClosed(TimePoint now) const
{
    return maxOpenDuration_ == Duration::zero() || now >= nextCallAt_;
}

void CircuitBreaker::onSuccess()
{
    backoff_.reset();
    nextCallAt_ = {};
}

void CircuitBreaker::onFailure(TimePoint now)
{
    const bool wasStartedBeforeLastFailure = now < nextCallAt_; // No call starts while the breaker is open.
    if (maxOpenDuration_ > Duration::zero() && !wasStartedBeforeLastFailure) {
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
