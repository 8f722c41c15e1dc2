#include "decision/engine_health.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Weight of the newest observation in the mean. A drop to a tenth of the speed shows after five to six observations, while a few late
/// answers have little effect.
constexpr double newestObservationWeight = 0.2;
/// Ratio of a slow engine that the test distinguishes from 1, and the variance of log ratios: estimates from late reports are off
/// by a factor of two or three in both directions.
constexpr double slowRatio = 5;
constexpr double logRatioVariance = 1;
/// Upper bound of the test, the logarithm of 10,000: about one false ejection in 10,000 tests.
constexpr double ejectionThreshold = 9.21;
/// An ejected engine is readmitted after this many consecutive probes below this ratio.
constexpr std::uint32_t minGoodProbes = 2;
constexpr double maxGoodProbeRatio = 2;
/// Mean interval between two probes of one engine by all hosts together; doubled with each bad probe, up to a factor of 8.
constexpr Duration probeInterval = std::chrono::seconds(1);
constexpr std::uint32_t maxProbeBackoffDoublings = 3;
/// Maximum fraction of engines that are ejected. If all look slow, the load is the cause, and ejecting engines would increase it.
constexpr double maxEjectedFraction = 0.34;
constexpr double minRatio = 0.25;
constexpr double maxRatio = 30;
constexpr double failureRatio = 10;

} // namespace

EngineHealth::EngineHealth()
    : records_(maxEngines)
    , probeInterval_(probeInterval)
{
}

void EngineHealth::observe(EngineIndex engine, double ratio, TimePoint now)
{
    Record &record = records_[engine];
    const double logRatio = std::log(std::clamp(ratio, minRatio, maxRatio));
    if (record.isEjected) {
        observeProbe(engine, logRatio);
        return;
    }
    record.logRatio += newestObservationWeight * (logRatio - record.logRatio);
    // An arithmetic mean at first: starting at 0, a bias common to all estimates would eject engines until the mean has adapted.
    ++fleetObservations_;
    const double weight = newestObservationWeight / std::max(1.0, static_cast<double>(engineCount_));
    fleetLogRatio_ += std::max(weight, 1 / static_cast<double>(fleetObservations_)) * (logRatio - fleetLogRatio_);
    ++record.observations;
    if (isSlow(record, logRatio)) {
        eject(record, now);
    }
}

void EngineHealth::observeFailure(EngineIndex engine, TimePoint now)
{
    observe(engine, failureRatio, now);
}

void EngineHealth::reset(EngineIndex engine)
{
    if (records_[engine].isEjected) {
        --ejectedCount_;
    }
    records_[engine] = Record{};
}

void EngineHealth::setEngineCount(std::size_t count)
{
    engineCount_ = count;
}

void EngineHealth::setHostCount(std::size_t count)
{
    probeInterval_ = probeInterval * std::max<std::size_t>(1, count);
}

double EngineHealth::slowdownFactor(EngineIndex engine) const
{
    const Record &record = records_[engine];
    return record.observations == 0 ? 1 : std::max(1.0, std::exp(record.logRatio - fleetLogRatio_));
}

bool EngineHealth::isEjected(EngineIndex engine) const
{
    return records_[engine].isEjected;
}

bool EngineHealth::isProbeDue(EngineIndex engine, TimePoint now) const
{
    const Record &record = records_[engine];
    return record.isEjected && now >= record.nextProbe;
}

void EngineHealth::onProbeSent(EngineIndex engine, TimePoint now)
{
    Record &record = records_[engine];
    record.nextProbe = now + probeInterval_ * (1U << std::min(record.badProbes, maxProbeBackoffDoublings));
}

/// Wald's sequential probability ratio test of "slow" against "normal", as Cohen and Zhao use it for each process in "Asymptotically
/// Optimal Anomaly Detection via Sequential Testing" (2015). Unlike there, it restarts at its lower bound, as an engine may become
/// slow at any time. docs/design/placing.md compares it with a threshold on the mean.
bool EngineHealth::isSlow(Record &record, double logRatio) const
{
    const double shift = std::log(slowRatio);
    const double step = shift / logRatioVariance * (logRatio - fleetLogRatio_ - shift / 2);
    record.logLikelihood = std::max(0.0, record.logLikelihood + step);
    return record.logLikelihood > ejectionThreshold;
}

void EngineHealth::eject(Record &record, TimePoint now)
{
    const auto ejectable = static_cast<std::size_t>(maxEjectedFraction * static_cast<double>(engineCount_));
    if (ejectedCount_ >= ejectable) {
        return;
    }
    ++ejectedCount_;
    record.isEjected = true;
    record.goodProbes = 0;
    record.badProbes = 0;
    record.nextProbe = now + probeInterval_;
}

void EngineHealth::observeProbe(EngineIndex engine, double logRatio)
{
    Record &record = records_[engine];
    const bool isGood = logRatio < std::log(maxGoodProbeRatio);
    record.goodProbes = isGood ? record.goodProbes + 1 : 0;
    record.badProbes = isGood ? 0 : record.badProbes + 1;
    if (record.goodProbes >= minGoodProbes) {
        reset(engine);
    }
}

} // namespace Lovageloft
