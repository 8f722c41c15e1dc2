#include "gateway/followed_prefix.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Lovageloft
{

void FollowedPrefix::takeNotice(const ChangesNotice &notice, TimePoint now)
{
    const Duration heardNothing = std::max(notice.silence, now - std::max(heardAt, readAt));
    std::vector<StoreEntry> changes;
    bool lacksValues = false;
    for (std::size_t i = 0; i < notice.entries.size(); ++i) {
        const StoreEntry &entry = notice.entries[i];
        if (entry.revision <= reached) {
            continue;
        }
        const bool isOmitted = i < notice.omitted.size() && notice.omitted[i];
        silence = std::max(silence, heardNothing);
        outage = std::max(outage, notice.outage);
        lastChange = std::max(lastChange, entry.revision);
        lacksValues = lacksValues || isOmitted;
        entries.emplace_back(entry, isOmitted);
        changes.push_back(entry);
        noteKey(entry);
    }
    const bool isLeap = notice.latestStart < notice.upTo;
    if (lacksValues) {
        log.reset(notice.upTo);
    } else if (isLeap) {
        log.appendCoalesced(reached, notice.upTo, changes);
    } else {
        std::for_each(changes.begin(), changes.end(), [this](const StoreEntry &entry) { log.append(entry); });
    }
    reached = notice.upTo;
}

void FollowedPrefix::takeWatch(const StoreListReply &watch)
{
    for (const StoreEntry &entry : watch.entries) {
        lastChange = std::max(lastChange, entry.revision);
        if (entry.revision > reached) {
            log.append(entry);
            noteKey(entry);
        }
    }
    // Notices may have come while the store was asked. What the answer holds already must not be handed out after it.
    std::erase_if(entries, [&watch](const auto &heard) { return heard.first.revision <= watch.revision; });
    silence = entries.empty() ? Duration::zero() : silence;
    outage = entries.empty() ? std::nullopt : outage;
    reached = std::max(reached, watch.revision);
}

ChangesNotice FollowedPrefix::changesBy(const StoreListReply &list) const
{
    ChangesNotice notice{{}, lastChange, list.revision, {}, {}, {}, reached};
    std::set<std::string_view> listed;
    for (const StoreEntry &entry : list.entries) {
        listed.insert(entry.key);
        if (entry.revision > reached && entry.revision <= list.revision) {
            notice.entries.push_back(entry);
        }
    }
    std::stable_sort(
        notice.entries.begin(), notice.entries.end(), [](const StoreEntry &left, const StoreEntry &right) { return left.revision < right.revision; });
    for (const auto &[key, revision] : keys) {
        if (!listed.contains(key)) {
            notice.entries.push_back({key, {}, list.revision, true});
        }
    }
    return notice;
}

void FollowedPrefix::takeList(const StoreListReply &list, const std::optional<ChangesNotice> &changes)
{
    if (changes) {
        log.appendCoalesced(reached, list.revision, changes->entries);
    } else {
        log.reset(list.revision);
    }
    lastChange = list.revision;
    keys.clear();
    for (const StoreEntry &entry : list.entries) {
        keys.insert_or_assign(entry.key, entry.revision);
    }
    reached = list.revision;
    needed = 0;
    behindSince.reset();
    entries.clear();
    silence = {};
    outage = {};
}

void FollowedPrefix::noteKey(const StoreEntry &entry)
{
    if (entry.isDeleted) {
        keys.erase(entry.key);
    } else {
        keys.insert_or_assign(entry.key, entry.revision);
    }
}

} // namespace Lovageloft
