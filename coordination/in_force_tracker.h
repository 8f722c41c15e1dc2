#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/host_lists.h"
#include "core/clock.h"

namespace Lovageloft
{

/// Determines when a committed entry is in force: from then on no host serves under an older one. This is the case once caught-up hosts that
/// form a majority of each list of hosts held the entry at the same time and the window has passed since then, or once all listed hosts held
/// the entry at the same time.
/// Reports gathered at different times are not enough: a host could report the entry, restart, catch up from a peer that has not received
/// the entry yet, and then report no newer entry to a host that is cut off. An operator would be told that a key is withdrawn although that
/// host still accepts it.
/// Not thread-safe.
class InForceTracker
{
public:
    /// `window` is the freshness window of the freshness gates. The tracker waits 1% longer, because the clocks of hosts run at slightly
    /// different rates.
    explicit InForceTracker(Duration window);

    /// Sets the lists of hosts that result from the entries held. While the current list is empty, as before the first call, an entry is in
    /// force without any report once the window has passed since it was known to be committed.
    void setHosts(HostLists lists);

    /// Starts to track a committed entry. A newly started tracker is given the last entry of the log: once that is in force, so are all
    /// entries before it. Beyond 64 tracked entries the oldest is dropped; it is in force once a later one is.
    void track(std::int64_t sequence, TimePoint knownCommittedAt);

    /// Records a host's own version report, never a relayed one: `requestSentAt` is when the request was sent and `responseReceivedAt` when
    /// the response arrived. The host that runs the tracker reports itself with both times equal.
    void onPeerVersionReport(const PeerVersionReport &report, TimePoint requestSentAt, TimePoint responseReceivedAt);

    /// Updates isInForce() and inForceVersion() to `now`; to be called after reports and as time passes.
    void advance(TimePoint now);

    /// Records that another host's tracker found the entry in force. An entry that is in force stays in force.
    void onInForce(std::int64_t sequence);

    bool isInForce(std::int64_t sequence) const;

    /// The sequence number of the last entry known to be in force; 0 if there is none.
    std::int64_t inForceVersion() const;

    /// The hosts of the current and the previous list that are not caught up or not known to hold the entry, ascending by name. For the
    /// operator, and as the hosts to ask next.
    std::vector<std::string> hostsLacking(std::int64_t sequence) const;

private:
    struct Host
    {
        std::uint64_t incarnation = 0;
        std::int64_t versionHeld = 0;
        bool isCaughtUp = false;
        TimePoint heldUntil; ///< The latest time at which this incarnation was known to hold its entries.
        std::map<std::int64_t, TimePoint> heldSince; ///< For each tracked entry, the time at which this incarnation was first known to hold it.
    };

    /// Maps the size of a list to the number of hosts that must hold an entry: a majority or all of them.
    using RequiredCount = std::size_t (*)(std::size_t count);

    /// The intervals in which hosts of a list are known to hold an entry. Starts and ends are sorted independently of each other.
    struct HoldIntervals
    {
        std::vector<TimePoint> starts;
        std::vector<TimePoint> ends;

        std::size_t countAt(TimePoint time) const;
    };

    HoldIntervals holdIntervals(const std::vector<std::string> &list, std::int64_t sequence) const;
    std::optional<TimePoint> firstTimeHeld(std::int64_t sequence, RequiredCount required) const;

    Duration wait_;
    HostLists lists_;
    std::map<std::int64_t, TimePoint> tracked_; ///< Entries not in force yet, each with a time at which it was known to be committed.
    std::map<std::string, Host, std::less<>> hosts_;
    std::int64_t inForceVersion_ = 0;
};

} // namespace Lovageloft
