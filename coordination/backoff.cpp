#include "coordination/backoff.h"

#include <algorithm>

namespace Lovageloft
{

Backoff::Backoff(Duration initialDelay, Duration maxDelay, const Random &random)
    : random_(random)
    , initialDelay_(initialDelay)
    , maxDelay_(maxDelay)
    , delay_(initialDelay)
{
}

void Backoff::setMaxDelay(Duration maxDelay)
{
    maxDelay_ = maxDelay;
}

Duration Backoff::nextDelay()
{
    delay_ = std::min(delay_, maxDelay_);
    const Duration half = delay_ / 2;
    const Duration drawn = half + randomUpTo(random_, half);
    delay_ *= 2;
    return drawn;
}

void Backoff::reset()
{
    delay_ = initialDelay_;
}

} // namespace Lovageloft
