#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "decision/cache_view.h"

namespace Lovageloft
{

/// Finds engines that have become slow and keeps work from them. Made for an engine that falls to a tenth of its speed and
/// still answers: each request sent there would miss its deadline, which callers of every team notice as a long tail.
/// Observations are ratios of an observed time to the expected one: to the first token of an answer, or for the prompt tokens
/// computed between two load reports. They are compared with the fleet's: when all look slow it is the load or the estimate.
class EngineHealth
{
public:
    EngineHealth();

    /// Takes one ratio.
    void observe(EngineIndex engine, double ratio, TimePoint now);

    /// Takes a failed request, which counts as a very slow one.
    void observeFailure(EngineIndex engine, TimePoint now);

    /// Forgets the engine's past: it was started anew or has left.
    void reset(EngineIndex engine);

    /// How many engines are listed; bounds how many may be ejected at once.
    void setEngineCount(std::size_t count);

    /// How many hosts probe likewise; each probes the more seldom, so that an engine gets the same number of them.
    void setHostCount(std::size_t count);

    /// By how much the engine is slower than usual, from 1 on; weighs its expected times before it is ejected.
    double slowness(EngineIndex engine) const;

    bool isEjected(EngineIndex engine) const;

    /// Whether an ejected engine is due for one request that finds out whether it has recovered; noteProbe puts it off.
    bool isProbeDue(EngineIndex engine, TimePoint now) const;

    void noteProbe(EngineIndex engine, TimePoint now);

private:
    struct Record
    {
        double logLikelihood = 0; // Of slow against normal, since it last looked normal.
        double logRatio = 0; // Exponentially weighted mean.
        std::uint32_t observations = 0;
        std::uint32_t goodProbes = 0;
        bool isEjected = false;
        std::uint32_t badProbes = 0;
        TimePoint nextProbe;
    };

    bool isSlow(Record &record, double logRatio) const;
    void eject(Record &record, TimePoint now);
    void observeProbe(EngineIndex engine, double logRatio);

    std::vector<Record> records_;
    double fleetLogRatio_ = 0; // Exponentially weighted mean over all engines.
    std::uint64_t fleetObservations_ = 0;
    Duration probeInterval_;
    std::size_t engineCount_ = 0;
    std::size_t ejectedCount_ = 0;
};

} // namespace Lovageloft
