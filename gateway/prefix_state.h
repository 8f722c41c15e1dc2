#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/change_log.h"
#include "coordination/outage_tracker.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// What a host knows about one prefix of the store, from notices of other hosts or from the store itself.
struct PrefixState
{
    std::int64_t syncedRevision = 0; ///< All changes up to this revision have been received; 0 before the first list.
    std::int64_t lastChangeRevision = 0; ///< Revision of the last change known, also from notices; nothing changed from it up to `syncedRevision`.
    std::optional<std::int64_t> appliedRevision; ///< All changes up to this revision are in force on this host; nothing if it does not say so.
    TimePoint unappliedSince; ///< Until when all changes were in force, while some are not.
    std::int64_t requiredRevision = 0; ///< Other hosts have this revision; it is above `syncedRevision` if changes were missed.
    bool areRelaysSilent = false; ///< Whether no relay has sent anything about this prefix for too long.
    std::optional<TimePoint> watchSentAt; ///< When the watch was sent that is pending at the store.
    bool isConfirmed = false; ///< On a relay: whether its last heartbeat included this prefix.
    /// Until when this host has received all changes: the time of the last own list, on a relay also of the last own watch, or the time up to
    /// which a relay or another host knew that `syncedRevision` was current.
    TimePoint lastHeardAt;
    TimePoint lastReadAt; ///< When the store last answered a list or watch of this host.
    /// Longest outage of the store that ended after `lastReadAt`, from the last answer to any call before it. A watch that was cut while other
    /// calls were answered is not an outage: entries that are gone after it were deleted and did not expire.
    Duration maxOutage{};
    std::optional<TimePoint> behindSince; ///< Since when changes or heartbeats have been missing.
    TimePoint storeCallAllowedAt; ///< While behind: when the store may be called.
    TimePoint nextPeerQueryAt; ///< While behind: when other hosts may be queried again.
    TimePoint returnedAt; ///< When the store began to answer again after `maxOutage`, at the latest.
    std::optional<Duration> outage; ///< For how long before the pending entries the store had answered no call; nothing if unknown.
    std::optional<TimePoint> pendingReturnedAt; ///< When the store began to answer again after `outage`.
    Duration silence{}; ///< For how long before the pending entries arrived this host could not have noticed a change.
    std::deque<std::pair<StoreEntry, bool>> pendingEntries; ///< Not returned to a caller yet; true: the value has to be read.
    ChangeLog log; ///< Changes to answer requests of other hosts with.
    std::map<std::string, std::int64_t, std::less<>> keyRevisions; ///< All existing keys, with the revision of their last write.

    /// Until when all changes are in force on this host; the end of time while none waits.
    TimePoint appliedUntil() const;

    /// The store answers this host again at `now`. It was not away while it told others of changes that this host had received until `confirmedAt`: it only
    /// turned this host away.
    void onOutage(const OutageTracker::Outage &ended, TimePoint confirmedAt, TimePoint now);

    /// Applies a notice that continues `syncedRevision`.
    void applyNotice(const ChangesNotice &notice, TimePoint now);

    /// Applies the reply to a watch. Its entries are returned to the caller of the watch and do not become pending.
    void applyWatch(const StoreListReply &watch);

    /// The changes after `syncedRevision` that a list shows, as a notice for other hosts. Thanks to it, a store that has compacted its history
    /// is listed once by each relay and not by all hosts. The pages of a list are not a snapshot: changes newer than the list's revision are
    /// left to the next watch.
    ChangesNotice changesInList(const StoreListReply &list) const;

    /// Applies a list. `changes` are those that it shows, if it continues `syncedRevision`.
    void applyList(const StoreListReply &list, const std::optional<ChangesNotice> &changes);

private:
    void setLastChange(std::int64_t revision);
    void recordKey(const StoreEntry &entry);
};

} // namespace Lovageloft
