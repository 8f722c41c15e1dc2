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

/// What a host knows of one prefix of the store, from notices of others, or on a relay from the store.
struct FollowedPrefix
{
    std::int64_t reached = 0; ///< Nothing up to this revision is missing.
    std::int64_t lastChange = 0; ///< Nothing changed after this revision up to `reached`; also by what the other relay tells.
    std::int64_t needed = 0; ///< Others have this revision; above `reached` if something was missed.
    bool isSilent = false; ///< No relay speaks of it.
    bool isWatched = false; ///< A watch of this host waits at the store.
    TimePoint heardAt; ///< When a relay last spoke of it, or when somebody else knew of all up to `reached`.
    TimePoint readAt; ///< When the store last answered this host's own list or watch.
    std::optional<TimePoint> behindSince; ///< From when on this host has lacked changes or heartbeats.
    TimePoint storeAt; ///< While behind: when the store may be asked.
    TimePoint questionAt; ///< While behind: when other hosts may be asked again.
    std::optional<Duration> outage; ///< For how long before that the store had answered nobody, as far as told.
    Duration silence{}; ///< For how long what was not handed out yet could not have been heard of.
    std::deque<std::pair<StoreEntry, bool>> entries; ///< Not handed out yet; true: the value has to be read.
    ChangeLog log; ///< For other hosts.
    std::map<std::string, std::int64_t, std::less<>> keys; ///< All that exist, with the revision of their last write.

    /// Takes what continues `reached`.
    void takeNotice(const ChangesNotice &notice, TimePoint now);

    /// Takes the answer to a watch, whose entries its caller gets.
    void takeWatch(const StoreListReply &watch);

    /// What a list shows to have changed after `reached`, as a notice for others. A store that has forgotten its history is read once by each
    /// relay then, and not by all hosts. Pages of a list are no snapshot: what is newer than its revision comes by the watch.
    ChangesNotice changesBy(const StoreListReply &list) const;

    /// Takes a list, and the changes that it shows if it continues `reached`.
    void takeList(const StoreListReply &list, const std::optional<ChangesNotice> &changes);

private:
    void noteKey(const StoreEntry &entry);
};

} // namespace Lovageloft
