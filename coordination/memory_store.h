#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "coordination/store.h"

namespace Lovageloft
{

/// An in-memory store for deployments of a single host and for tests; its contents are lost with the process. Thread-safe. Leases expire by
/// the time of the given function, so that tests control when that happens; the timeout of watch() is real time.
class MemoryStore : public Store
{
public:
    using Now = std::function<TimePoint()>;

    /// Keeps the last `historyLimit` writes for watches. A watch from a revision that is no longer covered gets NotFound with the oldest
    /// revision from which it may continue; the caller has to list again.
    explicit MemoryStore(Now now = &BootClock::now, std::size_t historyLimit = 4096);

    /// The complete contents of a store.
    class Snapshot;

    std::shared_ptr<const Snapshot> snapshot();

    /// Restores a snapshot: writes and leases since then are lost, and their revisions are assigned again. era() stays 0. A watch from a
    /// revision that no longer exists gets NotFound.
    void restore(const Snapshot &snapshot);

    /// Number of calls of restore().
    std::int64_t restoreCount() const;

    StoreReply get(std::string_view key) override;
    StoreListReply list(std::string_view prefix) override;
    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override;
    StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) override;
    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override;
    StoreLeaseReply grantLease(Duration timeToLive) override;
    StoreLeaseReply keepAlive(std::int64_t leaseId) override;
    StoreLeaseReply revokeLease(std::int64_t leaseId) override;

private:
    struct Value
    {
        std::string text;
        std::int64_t revision = 0;
        std::int64_t leaseId = 0;
    };

    struct Lease
    {
        Duration timeToLive{};
        TimePoint expiry;
    };

    StoreEntry entryOf(std::string_view key) const;
    StoreListReply historyAfter(std::string_view prefix, std::int64_t afterRevision) const;
    void appendWrite(StoreEntry entry);
    void erase(const std::string &key);
    void removeLease(std::int64_t leaseId);
    void expireLeases();

    Now now_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Value, std::less<>> values_;
    std::map<std::int64_t, Lease> leases_;
    std::deque<StoreEntry> history_;
    std::size_t historyLimit_;
    std::int64_t compactedRevision_ = 0; // Revision of the last write that was dropped from the history.
    std::int64_t revision_ = 0;
    std::int64_t lastLeaseId_ = 0;
    std::atomic<std::int64_t> restores_ = 0;
};

class MemoryStore::Snapshot
{
    friend class MemoryStore;

    std::map<std::string, Value, std::less<>> values_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 0;
};

} // namespace Lovageloft
