#include "coordination/backoff.h"

#include <algorithm>

namespace Lovageloft
{

Backoff::Backoff(Duration first, Duration longest, const Random &random)
    : random_(random)
    , first_(first)
    , longest_(longest)
    , pause_(first)
{
}

void Backoff::setMaxDelay(Duration longest)
{
    longest_ = longest;
}

Duration Backoff::nextDelay()
{
    pause_ = std::min(pause_, longest_);
    const Duration half = pause_ / 2;
    const Duration drawn = half + randomUpTo(random_, half);
    pause_ *= 2;
    return drawn;
}

void Backoff::reset()
{
    pause_ = first_;
}

} // namespace Lovageloft
