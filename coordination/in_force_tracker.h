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

/// Tells when a committed entry is in force: from then on no host serves under an older one. That is so once a majority of the
/// caught-up hosts held the entry at one and the same moment, and since that moment either the window has passed or every host held it.
/// What goes wrong without the one moment: a host reports the entry and restarts, catches up from a neighbour that has not heard of it yet,
/// and vouches for a cut-off host; reports gathered one after another would still count it. An operator is then told that a key is
/// withdrawn which a host still honours. Not thread-safe.
class InForceTracker
{
public:
    /// `window` is F of the freshness gates. A little more is waited, because hosts' clocks run at slightly different rates.
    explicit InForceTracker(Duration window);

    void setHosts(HostLists lists);

    /// Follows a committed entry; `now` is a time at which it was known to be committed. A tracker that starts anew is given the last
    /// entry of the log: once that is in force, so are all before it.
    void track(std::int64_t sequence, TimePoint now);

    /// A host's own answer to a question sent at `askedAt` that came in at `answeredAt`, never a relayed one. The host that runs the
    /// tracker reports itself with both times equal.
    void onPeerVersionReport(const PeerVersionReport &report, TimePoint askedAt, TimePoint answeredAt);

    /// Works out what is in force at `now`.
    void advance(TimePoint now);

    /// Another host's tracker found the entry in force, which once true stays true.
    void onInForce(std::int64_t sequence);

    bool isInForce(std::int64_t sequence) const;

    /// The last entry known to be in force.
    std::int64_t inForceVersion() const;

    /// The listed hosts that are not known to hold the entry, for the operator and as those to ask next.
    std::vector<std::string> hostsLacking(std::int64_t sequence) const;

private:
    struct Host
    {
        std::uint64_t incarnation = 0;
        std::int64_t versionHeld = 0;
        bool isCaughtUp = false;
        TimePoint lastAskedAt; ///< The latest time at which this incarnation was still known to hold what it holds.
        std::map<std::int64_t, TimePoint> heldSince; ///< By tracked entry: when this incarnation was first known to hold it.
    };

    /// A majority of each list, or all of each.
    using Needed = std::size_t (*)(std::size_t count);

    /// From when and until when the hosts of a list are known to hold an entry; each sorted by itself.
    struct Spans
    {
        std::vector<TimePoint> begins;
        std::vector<TimePoint> ends;

        std::size_t countAt(TimePoint moment) const;
    };

    Spans spansOf(const std::vector<std::string> &list, std::int64_t sequence) const;
    std::optional<TimePoint> firstMoment(std::int64_t sequence, Needed needed) const;

    Duration wait_;
    HostLists lists_;
    std::map<std::int64_t, TimePoint> tracked_; ///< Entries not in force yet, with the time they were known to be committed.
    std::map<std::string, Host, std::less<>> hosts_;
    std::int64_t inForceVersion_ = 0;
};

} // namespace Lovageloft
