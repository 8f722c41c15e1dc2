#include "gateway/store_backoff.h"

#include <random>

namespace Lovageloft
{

namespace
{

/// The store answers within 10 ms when it is well; the longest pause leaves a host time for several tries before a key proof ends.
constexpr Duration firstPause = std::chrono::milliseconds(50);
constexpr Duration longestPause = std::chrono::milliseconds(400);

} // namespace

Backoff storeBackoff()
{
    return {firstPause, longestPause, Random(std::random_device{}())};
}

} // namespace Lovageloft
