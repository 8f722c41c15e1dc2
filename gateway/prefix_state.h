#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/change_log.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// What a host knows about one prefix of the store, from notices of other hosts or from the store itself.
struct PrefixState
{
    std::int64_t syncedRevision = 0; ///< All changes up to this revision have been received.
    std::int64_t lastChangeRevision = 0; ///< Nothing changed between this revision and `syncedRevision`, also according to notices of the other relay.
    std::int64_t requiredRevision = 0; ///< Other hosts have this revision; it is above `syncedRevision` if changes were missed.
    bool areRelaysSilent = false; ///< Whether no relay has sent anything about this prefix for too long.
    bool hasOpenWatch = false; ///< Whether a watch of this host is pending at the store.
    TimePoint lastHeardAt; ///< When a relay last sent a notice, or until when another host confirmed that `syncedRevision` was current.
    TimePoint lastReadAt; ///< When the store last answered a list or watch of this host.
    std::optional<TimePoint> behindSince; ///< Since when changes or heartbeats have been missing.
    TimePoint storeCallAllowedAt; ///< While behind: when the store may be called.
    TimePoint nextPeerQueryAt; ///< While behind: when other hosts may be queried again.
    std::optional<Duration> outage; ///< How long the store had answered nobody before the pending entries; nothing if unknown.
    Duration silence{}; ///< For how long before their arrival this host could not have received the pending entries.
    std::deque<std::pair<StoreEntry, bool>> pendingEntries; ///< Not returned to a caller yet; true: the value has to be read.
    ChangeLog log; ///< Changes to answer requests of other hosts with.
    std::map<std::string, std::int64_t, std::less<>> keyRevisions; ///< All existing keys, with the revision of their last write.

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
    void recordKey(const StoreEntry &entry);
};

} // namespace Lovageloft
