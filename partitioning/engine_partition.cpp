#include "partitioning/engine_partition.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Over which demand is averaged: short enough to follow a burst within a second, long enough for the few requests that one host sees.
constexpr std::chrono::milliseconds demandDecayTime{1'500};

/// Fraction of the engines' time that must be asked for before they are divided, and below which they are united again.
constexpr double divideUtilization = 0.45;
constexpr double uniteUtilization = 0.3;

/// Room for short prompts relative to their demand. Hosts place them without knowing of each other's, so that a fuller part would have queues.
constexpr double shortHeadroom = 1.5;

constexpr double minBoundary = 0.08;
constexpr double maxBoundary = 0.6;

} // namespace

EnginePartition::EnginePartition()
    : shortWork_(demandDecayTime)
    , longWork_(demandDecayTime)
{
}

void EnginePartition::addWork(PromptClass promptClass, double engineSeconds, TimePoint now)
{
    (promptClass == PromptClass::Short ? shortWork_ : longWork_).add(now, engineSeconds);
}

/// Room that neither class needs goes to both in proportion. If both need more than there is, short prompts get what they need: they take a small part of the
/// engines' time, and their callers wait for a shorter time.
void EnginePartition::update(std::size_t engineCount, TimePoint now)
{
    const double engines = std::max<double>(1, static_cast<double>(engineCount));
    const double shortDemand = shortHeadroom * shortWork_.rate(now) / engines;
    const double longDemand = longWork_.rate(now) / engines;
    const double utilization = shortDemand + longDemand;
    const bool hasBoth = shortDemand > 0 && longDemand > 0;
    isDivided_ = hasBoth && utilization > (isDivided_ ? uniteUtilization : divideUtilization);
    if (isDivided_) {
        boundary_ = std::clamp(shortDemand / std::min(1.0, utilization), minBoundary, maxBoundary);
    }
}

bool EnginePartition::serves(double position, PromptClass promptClass) const
{
    return !isDivided_ || (position < boundary_) == (promptClass == PromptClass::Short);
}

double EnginePartition::positionOf(std::uint64_t nameHash)
{
    constexpr int hashBits = 64;
    return std::ldexp(static_cast<double>(nameHash), -hashBits);
}

} // namespace Lovageloft
