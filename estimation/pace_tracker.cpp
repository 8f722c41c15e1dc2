#include "estimation/pace_tracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// How fast a stated pace loses its meaning.
constexpr std::chrono::milliseconds statedDecayTime{300};

/// Over which the mean is taken: several of the periods in which a machine is busy with other work.
constexpr std::chrono::seconds meanDecayTime{3};

/// Least weight of a new figure in the mean. Without it, figures in quick succession would not count.
constexpr double minMeanWeight = 0.05;

/// An observed time says less of the pace than a stated figure, as it contains waits.
constexpr double observedWeight = 0.5;

constexpr double maxPace = 20;

double boundedLog(double pace)
{
    return std::log(std::clamp(pace, 1 / maxPace, maxPace));
}

} // namespace

void PaceTracker::onStated(double pace, TimePoint now)
{
    if (!std::isfinite(pace) || pace <= 0) {
        return;
    }
    statedLogPace_ = boundedLog(pace);
    statedAt_ = now;
    addToMean(statedLogPace_, now);
}

void PaceTracker::onObserved(double ratio, TimePoint now)
{
    if (!std::isfinite(ratio) || ratio <= 0) {
        return;
    }
    addToMean(meanLogPace_ + observedWeight * (boundedLog(ratio) - meanLogPace_), now);
}

double PaceTracker::pace(TimePoint now) const
{
    if (!statedAt_) {
        return meanPace();
    }
    const double weight = std::exp(-toSeconds(std::max(now - *statedAt_, Duration::zero())) / toSeconds(statedDecayTime));
    return std::exp(meanLogPace_ + weight * (statedLogPace_ - meanLogPace_));
}

double PaceTracker::meanPace() const
{
    return std::exp(meanLogPace_);
}

void PaceTracker::addToMean(double logPace, TimePoint now)
{
    const double elapsed = toSeconds(std::max(now - meanUpdatedAt_, Duration::zero()));
    const double weight = hasMean_ ? std::max(minMeanWeight, 1 - std::exp(-elapsed / toSeconds(meanDecayTime))) : 1;
    meanLogPace_ += weight * (logPace - meanLogPace_);
    meanUpdatedAt_ = now;
    hasMean_ = true;
}

} // namespace Lovageloft
