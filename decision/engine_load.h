#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace Lovageloft
{

/// Load reported by an engine. Reports arrive with a delay, so each has the time of its measurement.
struct LoadReport
{
    TimePoint measuredAt; ///< On this host's clock: time of arrival minus the delay that the sender states.
    std::uint64_t incarnation = 0; ///< Incarnation of the engine; increases with each start.
    double queuedPrefillTokens = 0; ///< Prompt tokens that are not cached and still have to be computed.
    double computedPrefillTokens = 0; ///< Prompt tokens computed since its start, including those of partly computed prompts; 0 if not reported.
    std::uint32_t runningRequests = 0; ///< Requests that are generating.
    std::uint32_t waitingRequests = 0; ///< Requests that have no first token yet.
};

/// Expected queue of one engine: the last report, minus the work done since, plus the requests known to have been sent since.
/// Designed for reports that are seconds late: with the reports alone, all requests between two reports would go to the engine that
/// was idle in the first one.
class EngineLoad
{
public:
    /// Applies a report; `backlog` is the engine's queue in seconds of work. Reports out of order are ignored.
    void applyReport(TimePoint measuredAt, double backlog);

    /// Adds a request that this or another host has sent; `work` is its prefill time in seconds at nominal speed.
    void addDispatched(TimePoint now, double work);

    /// Returns the number of added requests that the last report does not include yet; at most 1,024.
    std::size_t sentSinceReport() const;

    /// Clears the queue; to be called when the engine has restarted.
    void clear();

    /// Returns the expected wait in seconds of a request sent now, if the engine runs at its nominal speed.
    double queueWait(TimePoint now) const;

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
