#include "decision/engine_health.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Weight of the newest observation: a tenth of the speed shows after five to six ratios, a few late ones don't.
constexpr double newestWeight = 0.2;
/// Ratio of a slow engine that the test is made to tell from 1, and the variance of the logarithms of ratios: estimates from late
/// reports are off by two or three in both directions.
constexpr double slowRatio = 5;
constexpr double logRatioVariance = 1;
/// The test's upper bound, the logarithm of 10,000: about one false ejection in as many tests.
constexpr double ejectionLimit = 9.21;
/// An engine comes back after this many probes below this ratio.
constexpr std::uint32_t goodProbesNeeded = 2;
constexpr double goodProbeRatio = 2;
/// Between two probes of all hosts together; doubled with each bad one up to 8 times.
constexpr Duration probeInterval = std::chrono::seconds(1);
constexpr std::uint32_t mostDoublings = 3;
/// No more than this part of the engines is ejected: when all look slow the load is the cause, and ejecting would add to it.
constexpr double ejectablePart = 0.34;
constexpr double leastRatio = 0.25;
constexpr double greatestRatio = 30;
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
    const double logRatio = std::log(std::clamp(ratio, leastRatio, greatestRatio));
    if (record.isEjected) {
        observeProbe(engine, logRatio);
        return;
    }
    record.logRatio += newestWeight * (logRatio - record.logRatio);
    // A plain mean at first: were it to start at 0, a bias that all estimates have would eject engines until it is learned.
    ++fleetObservations_;
    const double weight = newestWeight / std::max(1.0, static_cast<double>(engineCount_));
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

double EngineHealth::slowness(EngineIndex engine) const
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

void EngineHealth::noteProbe(EngineIndex engine, TimePoint now)
{
    Record &record = records_[engine];
    record.nextProbe = now + probeInterval_ * (1U << std::min(record.badProbes, mostDoublings));
}

/// Wald's sequential probability ratio test of "slow" against "normal", as Cohen and Zhao use it for each process in "Asymptotically
/// Optimal Anomaly Detection via Sequential Testing" (2015). Other than there it starts over at its lower bound, as an engine may
/// become slow at any time. docs/design/placing.md compares it with a threshold on the mean.
bool EngineHealth::isSlow(Record &record, double logRatio) const
{
    const double shift = std::log(slowRatio);
    const double step = shift / logRatioVariance * (logRatio - fleetLogRatio_ - shift / 2);
    record.logLikelihood = std::max(0.0, record.logLikelihood + step);
    return record.logLikelihood > ejectionLimit;
}

void EngineHealth::eject(Record &record, TimePoint now)
{
    const auto ejectable = static_cast<std::size_t>(ejectablePart * static_cast<double>(engineCount_));
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
    const bool isGood = logRatio < std::log(goodProbeRatio);
    record.goodProbes = isGood ? record.goodProbes + 1 : 0;
    record.badProbes = isGood ? 0 : record.badProbes + 1;
    if (record.goodProbes >= goodProbesNeeded) {
        reset(engine);
    }
}

} // namespace Lovageloft
