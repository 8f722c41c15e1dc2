#include "decision/engine_health.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Weight of the newest observation: a tenth of the speed shows after three answers, a single late one doesn't.
constexpr double newestWeight = 0.3;
/// Ejected when the mean of the ratios passes this. Estimates from late reports are off by two or three in both directions.
constexpr double ejectionRatio = 4;
constexpr std::uint32_t leastObservations = 4;
/// An engine comes back after this many probes below this ratio.
constexpr std::uint32_t goodProbesNeeded = 2;
constexpr double goodProbeRatio = 2;
constexpr Duration probeInterval = std::chrono::seconds(2);
/// No more than this part of the engines is ejected: when all look slow the load is the cause, and ejecting would add to it.
constexpr double ejectablePart = 0.34;
constexpr double leastRatio = 0.25;
constexpr double greatestRatio = 30;
constexpr double failureRatio = 10;

} // namespace

EngineHealth::EngineHealth()
    : records_(engineLimit)
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
    record.slowness = std::max(1.0, std::exp(record.logRatio));
    ++record.observations;
    if (record.observations >= leastObservations && record.logRatio > std::log(ejectionRatio)) {
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

double EngineHealth::slowness(EngineIndex engine) const
{
    return records_[engine].slowness;
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
    records_[engine].nextProbe = now + probeInterval;
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
    record.nextProbe = now + probeInterval;
}

void EngineHealth::observeProbe(EngineIndex engine, double logRatio)
{
    Record &record = records_[engine];
    record.goodProbes = logRatio < std::log(goodProbeRatio) ? record.goodProbes + 1 : 0;
    if (record.goodProbes >= goodProbesNeeded) {
        reset(engine);
    }
}

} // namespace Lovageloft
