#include "gateway/store_backoff.h"

#include <algorithm>
#include <random>

namespace Lovageloft
{

namespace
{

/// The store answers within 10 ms when it is well; the longest pause leaves a host time for several tries before a key proof ends.
constexpr Duration firstPause = std::chrono::milliseconds(50);
constexpr Duration longestPause = std::chrono::milliseconds(400);

} // namespace

StoreBackoff::StoreBackoff()
    : random_(std::random_device{}())
    , pause_(firstPause)
{
}

Duration StoreBackoff::next()
{
    const Duration half = pause_ / 2;
    const Duration drawn = half + Duration(randomBelow(random_, static_cast<std::size_t>(half.count())));
    pause_ = std::min(pause_ * 2, longestPause);
    return drawn;
}

void StoreBackoff::reset()
{
    pause_ = firstPause;
}

} // namespace Lovageloft
