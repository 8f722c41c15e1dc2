#include "coordination/memory_store.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Maximum delay until a waiting watch notices an expired lease; expiry itself notifies no waiting thread.
constexpr Duration leaseCheckInterval = std::chrono::milliseconds(50);

} // namespace

MemoryStore::MemoryStore(Now now, std::size_t historyLimit)
    : now_(std::move(now))
    , historyLimit_(historyLimit)
{
}

std::shared_ptr<const MemoryStore::Snapshot> MemoryStore::snapshot()
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->values_ = values_;
    snapshot->leases_ = leases_;
    snapshot->revision_ = revision_;
    return snapshot;
}

void MemoryStore::restore(const Snapshot &snapshot)
{
    const std::lock_guard lock(mutex_);
    values_ = snapshot.values_;
    leases_ = snapshot.leases_;
    revision_ = snapshot.revision_;
    history_.clear();
    compactedRevision_ = revision_;
    ++restores_;
    changed_.notify_all();
}

std::int64_t MemoryStore::restoreCount() const
{
    return restores_;
}

StoreReply MemoryStore::get(std::string_view key)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    StoreEntry entry = entryOf(key);
    return {entry.revision == 0 ? StoreStatus::NotFound : StoreStatus::Ok, std::move(entry)};
}

StoreListReply MemoryStore::list(std::string_view prefix)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    StoreListReply reply{StoreStatus::Ok, {}, revision_};
    for (auto entry = values_.lower_bound(prefix); entry != values_.end() && entry->first.starts_with(prefix); ++entry) {
        reply.entries.push_back(entryOf(entry->first));
    }
    return reply;
}

StoreReply MemoryStore::compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    StoreEntry current = entryOf(key);
    if (current.revision != expectedRevision) {
        return {StoreStatus::Conflict, std::move(current)};
    }
    if (leaseId != 0 && !leases_.contains(leaseId)) {
        return {StoreStatus::NotFound, std::move(current)};
    }
    values_.insert_or_assign(std::string(key), Value{std::string(value), revision_ + 1, leaseId});
    appendWrite(entryOf(key));
    return {StoreStatus::Ok, entryOf(key)};
}

StoreReply MemoryStore::compareAndDelete(std::string_view key, std::int64_t expectedRevision)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    StoreEntry current = entryOf(key);
    if (current.revision == 0) {
        return {StoreStatus::NotFound, std::move(current)};
    }
    if (current.revision != expectedRevision) {
        return {StoreStatus::Conflict, std::move(current)};
    }
    erase(current.key);
    return {StoreStatus::Ok, std::move(current)};
}

StoreListReply MemoryStore::watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    std::unique_lock lock(mutex_);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        expireLeases();
        StoreListReply reply = historyAfter(prefix, afterRevision);
        const auto now = std::chrono::steady_clock::now();
        if (reply.status != StoreStatus::Ok || !reply.entries.empty() || now >= deadline) {
            return reply;
        }
        changed_.wait_until(lock, std::min(deadline, now + leaseCheckInterval));
    }
}

StoreLeaseReply MemoryStore::grantLease(Duration timeToLive)
{
    const std::lock_guard lock(mutex_);
    ++lastLeaseId_;
    leases_[lastLeaseId_] = {timeToLive, now_() + timeToLive};
    return {StoreStatus::Ok, lastLeaseId_, timeToLive};
}

StoreLeaseReply MemoryStore::keepAlive(std::int64_t leaseId)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    const auto lease = leases_.find(leaseId);
    if (lease == leases_.end()) {
        return {StoreStatus::NotFound, leaseId, {}};
    }
    lease->second.expiry = now_() + lease->second.timeToLive;
    return {StoreStatus::Ok, leaseId, lease->second.timeToLive};
}

StoreLeaseReply MemoryStore::revokeLease(std::int64_t leaseId)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    if (!leases_.contains(leaseId)) {
        return {StoreStatus::NotFound, leaseId, {}};
    }
    removeLease(leaseId);
    return {StoreStatus::Ok, leaseId, {}};
}

StoreEntry MemoryStore::entryOf(std::string_view key) const
{
    const auto value = values_.find(key);
    if (value == values_.end()) {
        return {std::string(key), {}, 0, false};
    }
    return {value->first, value->second.text, value->second.revision, false};
}

StoreListReply MemoryStore::historyAfter(std::string_view prefix, std::int64_t afterRevision) const
{
    if (afterRevision < compactedRevision_ || afterRevision > revision_) {
        return {StoreStatus::NotFound, {}, compactedRevision_};
    }
    StoreListReply reply{StoreStatus::Ok, {}, revision_};
    const auto first = std::upper_bound(
        history_.begin(), history_.end(), afterRevision, [](std::int64_t revision, const StoreEntry &entry) { return revision < entry.revision; });
    std::copy_if(first, history_.end(), std::back_inserter(reply.entries), [prefix](const StoreEntry &entry) { return entry.key.starts_with(prefix); });
    return reply;
}

void MemoryStore::appendWrite(StoreEntry entry)
{
    ++revision_;
    history_.push_back(std::move(entry));
    if (history_.size() > historyLimit_) {
        compactedRevision_ = history_.front().revision;
        history_.pop_front();
    }
    changed_.notify_all();
}

void MemoryStore::erase(const std::string &key)
{
    values_.erase(key);
    appendWrite({key, {}, revision_ + 1, true});
}

void MemoryStore::removeLease(std::int64_t leaseId)
{
    leases_.erase(leaseId);
    std::vector<std::string> keys;
    for (const auto &[key, value] : values_) {
        if (value.leaseId == leaseId) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        erase(key);
    }
}

void MemoryStore::expireLeases()
{
    const TimePoint now = now_();
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : leases_) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
        removeLease(id);
    }
}

} // namespace Lovageloft
