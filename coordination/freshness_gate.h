#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/host_lists.h"
#include "core/clock.h"

namespace Lovageloft
{

/// Decides whether this host may serve under the configuration that it holds. The acceptance of keys, the tickets in force and the shares of
/// teams' rates all depend on this one gate. Without it, a host cut off from the store and the other hosts would accept a withdrawn key for as
/// long as the partition lasts, and would go on serving callers with it.
///
/// The gate is open for one freshness window after a request to which the store, or a majority of the listed hosts (this one included),
/// answered that there is no entry newer than this host's; the window starts when the request was sent. An entry is in force only once a
/// majority holds it and the window has passed (InForceTracker). From then on any majority that a cut-off host asks includes a host that
/// holds the newer entry. docs/design/freshness.md has the full argument.
/// Not thread-safe; the value of freshUntil() may be passed to other threads.
class FreshnessGate
{
public:
    /// `self` is this host's name in the list of hosts, `window` is the freshness window (about 3 s), and `startedAt` is the start of this
    /// process. Version reports of peers whose request was sent before `startedAt` are ignored.
    FreshnessGate(std::string self, Duration window, TimePoint startedAt);

    /// Sets the lists of hosts that result from the entries held. While the current list is empty there are no peers, and only the store
    /// counts. Otherwise a host that is not in the current list is never fresh.
    void setHosts(HostLists lists);

    /// Sets the sequence number of the last entry that this host replayed. A lower number than before is ignored.
    void setVersionHeld(std::int64_t version);

    /// Records that the store reported `version` as the last entry, in response to a request sent at `sentAt`. The time of the response
    /// does not count: it may have been delayed while newer entries were committed.
    void onStoreConfirmed(std::int64_t version, TimePoint sentAt);

    /// Records a peer's version report. `requestSentAt` is the time at which the request was sent; for a report relayed by another host, any
    /// time at or before the one at which it was true. Ignored are reports about this host itself, reports by an earlier incarnation, and
    /// those whose `requestSentAt` is not later than that of the recorded report.
    void onPeerVersionReport(const PeerVersionReport &report, TimePoint requestSentAt);

    /// A report for onPeerVersionReports(), which records many at once.
    struct TimedVersionReport
    {
        PeerVersionReport report;
        TimePoint requestSentAt;
    };

    void onPeerVersionReports(std::span<const TimedVersionReport> reports);

    /// Whether this process has held, at some time since its start, every entry that was in force at that time. Until then its own reports
    /// don't count towards a majority.
    bool isCaughtUp() const;

    /// Whether new work may begin at `now`. Callers must check again right before they send the bytes of that work.
    bool isFresh(TimePoint now) const;

    /// The time at which the host stops being fresh unless it receives another confirmation; it may lie in the past, and is TimePoint::max()
    /// if this caught-up host is the only one listed. Empty while no confirmation counts: there has been none, this host is not listed, or a
    /// newer entry is known.
    std::optional<TimePoint> freshUntil() const;

    std::int64_t versionHeld() const;

private:
    struct PeerRow
    {
        std::uint64_t incarnation = 0;
        std::int64_t versionHeld = 0;
        bool isCaughtUp = false;
        TimePoint requestSentAt;
    };

    struct Confirmation
    {
        std::int64_t version = 0;
        TimePoint sentAt;
    };

    void record(const PeerVersionReport &report, TimePoint requestSentAt);
    void update();
    std::optional<TimePoint> reportedAt(const std::string &host) const;
    std::optional<TimePoint> confirmedAt() const;
    bool isListed() const;

    std::string self_;
    Duration window_;
    TimePoint startedAt_;
    HostLists lists_;
    std::int64_t versionHeld_ = 0;
    bool isCaughtUp_ = false;
    std::optional<Confirmation> confirmation_;
    std::map<std::string, PeerRow, std::less<>> peers_;
    std::optional<TimePoint> freshUntil_;
};

} // namespace Lovageloft
