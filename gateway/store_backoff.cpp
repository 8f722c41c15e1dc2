#include "gateway/store_backoff.h"

#include <random>

namespace Lovageloft
{

namespace
{

/// A healthy store answers within 10 ms. The maximum leaves a host time for several attempts before its proof that keys are valid expires.
constexpr Duration initialDelay = std::chrono::milliseconds(50);
constexpr Duration maxDelay = std::chrono::milliseconds(400);

} // namespace

Backoff storeBackoff()
{
    return {initialDelay, maxDelay, Random(std::random_device{}())};
}

} // namespace Lovageloft
