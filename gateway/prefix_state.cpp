#include "gateway/prefix_state.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Lovageloft
{

TimePoint PrefixState::appliedUntil() const
{
    return appliedRevision.value_or(lastChangeRevision) < lastChangeRevision ? unappliedSince : TimePoint::max();
}

void PrefixState::setLastChange(std::int64_t revision)
{
    if (revision <= lastChangeRevision) {
        return;
    }
    if (appliedUntil() == TimePoint::max()) {
        unappliedSince = std::max(lastHeardAt, lastReadAt);
    }
    lastChangeRevision = revision;
}

void PrefixState::onOutage(const OutageTracker::Outage &ended, TimePoint confirmedAt, TimePoint now)
{
    const Duration length = std::min(ended.length, now - confirmedAt);
    if (length > maxOutage) {
        maxOutage = length;
        returnedAt = ended.returnedAt;
    }
}

void PrefixState::applyNotice(const ChangesNotice &notice, TimePoint now)
{
    const Duration silentFor = std::max(notice.silence, now - std::max(lastHeardAt, lastReadAt));
    std::vector<StoreEntry> changes;
    bool lacksValues = false;
    for (std::size_t i = 0; i < notice.entries.size(); ++i) {
        const StoreEntry &entry = notice.entries[i];
        if (entry.revision <= syncedRevision) {
            continue;
        }
        const bool isOmitted = i < notice.omitted.size() && notice.omitted[i];
        silence = std::max(silence, silentFor);
        outage = std::max(outage, notice.outage);
        pendingReturnedAt = std::min(pendingReturnedAt.value_or(now), now - notice.returnAge);
        setLastChange(entry.revision);
        lacksValues = lacksValues || isOmitted;
        pendingEntries.emplace_back(entry, isOmitted);
        changes.push_back(entry);
        recordKey(entry);
    }
    const bool isCoalesced = notice.maxStartRevision < notice.upTo;
    if (lacksValues) {
        log.reset(notice.upTo);
    } else if (isCoalesced) {
        log.appendCoalesced(syncedRevision, notice.upTo, changes);
    } else {
        std::for_each(changes.begin(), changes.end(), [this](const StoreEntry &entry) { log.append(entry); });
    }
    syncedRevision = notice.upTo;
}

void PrefixState::applyWatch(const StoreListReply &watch)
{
    for (const StoreEntry &entry : watch.entries) {
        setLastChange(entry.revision);
        if (entry.revision > syncedRevision) {
            log.append(entry);
            recordKey(entry);
        }
    }
    // Notices may have arrived during the watch. Entries that the reply already contains must not be returned after it.
    std::erase_if(pendingEntries, [&watch](const auto &pending) { return pending.first.revision <= watch.revision; });
    silence = pendingEntries.empty() ? Duration::zero() : silence;
    outage = pendingEntries.empty() ? std::nullopt : outage;
    pendingReturnedAt = pendingEntries.empty() ? std::nullopt : pendingReturnedAt;
    syncedRevision = std::max(syncedRevision, watch.revision);
}

ChangesNotice PrefixState::changesInList(const StoreListReply &list) const
{
    ChangesNotice notice{{}, lastChangeRevision, list.revision, {}, {}, {}, syncedRevision};
    std::set<std::string_view> listed;
    for (const StoreEntry &entry : list.entries) {
        listed.insert(entry.key);
        if (entry.revision > syncedRevision && entry.revision <= list.revision) {
            notice.entries.push_back(entry);
        }
    }
    std::stable_sort(
        notice.entries.begin(), notice.entries.end(), [](const StoreEntry &left, const StoreEntry &right) { return left.revision < right.revision; });
    for (const auto &[key, revision] : keyRevisions) {
        if (!listed.contains(key)) {
            notice.entries.push_back({key, {}, list.revision, true});
        }
    }
    return notice;
}

void PrefixState::applyList(const StoreListReply &list, const std::optional<ChangesNotice> &changes)
{
    if (changes) {
        log.appendCoalesced(syncedRevision, list.revision, changes->entries);
    } else {
        log.reset(list.revision);
    }
    setLastChange(list.revision);
    lastChangeRevision = list.revision;
    keyRevisions.clear();
    for (const StoreEntry &entry : list.entries) {
        keyRevisions.insert_or_assign(entry.key, entry.revision);
    }
    syncedRevision = list.revision;
    requiredRevision = 0;
    behindSince.reset();
    pendingEntries.clear();
    silence = {};
    outage = {};
    pendingReturnedAt = {};
}

void PrefixState::recordKey(const StoreEntry &entry)
{
    if (entry.isDeleted) {
        keyRevisions.erase(entry.key);
    } else {
        keyRevisions.insert_or_assign(entry.key, entry.revision);
    }
}

} // namespace Lovageloft
