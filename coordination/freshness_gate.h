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

/// Tells whether this host may serve under the configuration that it holds; the one gate for keys, tickets and shares.
/// What goes wrong without it: a host cut off from the store and the other hosts honours a withdrawn key for as long as it is cut off.
/// One notices it as calls that a former caller still gets answered there. The gate closes a window after the last word from
/// the store, unless a majority of the listed hosts, this one included, said within the window that they hold no newer entry.
/// An entry is in force only once a majority holds it and the window has passed (InForceTracker), so each majority that could
/// vouch for a cut-off host then contains a host that knows better. docs/design/freshness.md has the argument.
/// Not thread-safe; other threads may be handed freshUntil().
class FreshnessGate
{
public:
    /// `self` is this host's name in the list, `window` is F (about 3 s), and `startedAt` the start of this process: answers to
    /// questions from before it are ignored.
    FreshnessGate(std::string self, Duration window, TimePoint startedAt);

    /// The lists that follow from the entries held. A host that is not in the current list is never fresh; while that list
    /// is empty there are no peers, and only the store counts.
    void setHosts(HostLists lists);

    /// The sequence of the last entry that this host replayed.
    void setVersionHeld(std::int64_t version);

    /// The store answered that `version` was the last entry, to a question sent at `sentAt`. The time of the answer does not
    /// count: it may have waited anywhere on its way while newer entries were committed.
    void onStoreConfirmed(std::int64_t version, TimePoint sentAt);

    /// A peer's answer to a question sent at `askedAt`, or an answer relayed by others with `askedAt` no later than the time at
    /// which it was true.
    void onPeerVersionReport(const PeerVersionReport &report, TimePoint askedAt);

    /// Many answers at once.
    struct TimedVersionReport
    {
        PeerVersionReport report;
        TimePoint askedAt;
    };

    void onPeerVersionReports(std::span<const TimedVersionReport> reports);

    /// Whether this process has, since its start, held all that was in force at some moment. Until then its vouches don't count.
    bool isCaughtUp() const;

    /// Whether new work may begin at `now`. To be asked again right before bytes leave.
    bool isFresh(TimePoint now) const;

    /// The first time at which the host is no longer fresh unless it hears more; nothing if it has not been fresh yet.
    std::optional<TimePoint> freshUntil() const;

    std::int64_t versionHeld() const;

private:
    struct PeerRow
    {
        std::uint64_t incarnation = 0;
        std::int64_t versionHeld = 0;
        bool isCaughtUp = false;
        TimePoint askedAt;
    };

    struct Confirmation
    {
        std::int64_t version = 0;
        TimePoint sentAt;
    };

    void record(const PeerVersionReport &report, TimePoint askedAt);
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
