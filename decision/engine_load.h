#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace Lovageloft
{

/// What an engine says about its load. It arrives with a lag, so each report says when it was measured.
struct LoadReport
{
    TimePoint measuredAt; ///< On this host's clock: when it came in, less the lag that its sender states.
    std::uint64_t incarnation = 0; ///< Of the engine; grows with each start.
    double queuedPrefillTokens = 0; ///< Prompt tokens not in its cache that it still has to compute.
    double computedPrefillTokens = 0; ///< All prompt tokens computed since its start, in parts as it goes; 0 if it doesn't say.
    std::uint32_t runningRequests = 0; ///< Requests that are generating.
    std::uint32_t waitingRequests = 0; ///< Requests that have no first token yet.
};

/// One engine's expected queue: the last report, drained by the time since, plus what this host has sent since. Made for
/// reports seconds late: with the report alone all work between two reports would go to the engine that was idle in the first.
class EngineLoad
{
public:
    /// Takes a report; `backlog` is its queue in seconds of work. Reports out of order are ignored.
    void report(TimePoint measuredAt, double backlog);

    /// Adds `work` seconds sent by this host.
    void dispatched(TimePoint now, double work);

    /// Requests sent by this host that the last report can't have counted.
    std::size_t sentSinceReport() const;

    /// Forgets everything: the engine came back empty.
    void clear();

    /// Expected wait in seconds of a request sent now, if the engine runs at its usual speed.
    double wait(TimePoint now) const;

private:
    struct Sent
    {
        TimePoint at;
        double work = 0;
    };

    void drainTo(TimePoint time);

    std::deque<Sent> sentSinceReport_;
    TimePoint measuredAt_;
    TimePoint drainedTo_;
    double backlog_ = 0;
};

} // namespace Lovageloft
