#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "decision/cache_view.h"

namespace Lovageloft
{

/// Detects engines that have become slow and ejects them (outlier ejection). Designed for an engine that drops to a tenth of its
/// speed and still answers: each request sent there would miss its deadline, which adds tail latency for every team.
/// Observations are ratios of an observed time to the expected time: the time to the first token, or the time for the prompt
/// tokens computed between two load reports. They are compared with the mean of the fleet: if all engines look slow, the cause is
/// the load or the estimate.
class EngineHealth
{
public:
    EngineHealth();

    /// Adds one observed ratio: 1 is as expected, more is slower; clamped to 0.25..30. For an ejected engine each observation counts as
    /// the result of a probe, and two good ones in a row readmit it.
    void observe(EngineIndex engine, double ratio, TimePoint now);

    /// Adds a failed request, which counts as a very slow one.
    void observeFailure(EngineIndex engine, TimePoint now);

    /// Clears the engine's state; to be called when it was restarted or removed.
    void reset(EngineIndex engine);

    /// Sets the number of listed engines. At most 34% of them may be ejected at once; none before the first call.
    void setEngineCount(std::size_t count);

    /// Sets the number of hosts that probe. Each probes less often if there are more, so that the total rate per engine stays the same.
    void setHostCount(std::size_t count);

    /// Returns the factor by which the engine is slower than the mean of the fleet, at least 1; its expected times are to be multiplied
    /// by it. Not updated while the engine is ejected.
    double slowdownFactor(EngineIndex engine) const;

    bool isEjected(EngineIndex engine) const;

    /// Returns whether an ejected engine is due for a probe request that tests whether it has recovered. onProbeSent schedules the next one.
    bool isProbeDue(EngineIndex engine, TimePoint now) const;

    void onProbeSent(EngineIndex engine, TimePoint now);

private:
    struct Record
    {
        double logLikelihood = 0; // Log likelihood ratio of slow against normal, since the engine last looked normal.
        double logRatio = 0; // Exponentially weighted mean of log ratios.
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
    double fleetLogRatio_ = 0; // Exponentially weighted mean of log ratios over all engines.
    std::uint64_t fleetObservations_ = 0;
    Duration probeInterval_;
    std::size_t engineCount_ = 0;
    std::size_t ejectedCount_ = 0;
};

} // namespace Lovageloft
