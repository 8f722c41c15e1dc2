#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

/// What the system needs of the platform's key-value service, and no more: compare-and-swap of one key,
/// lists, watches and leases. Drivers implement it; the pure packages use it through this interface only.
namespace Lovageloft
{

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t
{
    Ok,
    Conflict, ///< The key's revision was not the expected one; nothing was written.
    NotFound, ///< No such key or lease.
    Unavailable, ///< No answer, and nothing was written: the call never left, or the store refused it.
    AnswerLost, ///< The call left and no answer came: a write may or may not have taken effect.
};

/// A key with its value.
struct StoreEntry
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< Position of the last write to this key, from 1 on; 0 for a key that does not exist.
    bool isDeleted = false; ///< In a watch: the key was deleted or its lease lapsed.
};

/// Answer to a call about one key. After a Conflict `entry` holds the key as it stands, where the store tells.
struct StoreReply
{
    StoreStatus status = StoreStatus::Unavailable;
    StoreEntry entry;
    Duration age{}; ///< How long before the call was made the answer held; above zero if somebody else asked the store.
};

/// Answer to a list or a watch. `revision` is the store's revision that the answer reflects.
struct StoreListReply
{
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreEntry> entries; ///< A list: ascending by key. A watch: in the order of the writes.
    std::int64_t revision = 0;
    Duration silence{}; ///< From a store that hears of changes through others: for how long before the entries came they were silent.
    Duration age{}; ///< The same: how long before the call was made the answer held.

    /// The same: for how long before the entries came the store had answered nobody, so that leases may have run out; nothing if that is
    /// not known.
    std::optional<Duration> outage{};
};

/// Answer to a call about a lease.
struct StoreLeaseReply
{
    StoreStatus status = StoreStatus::Unavailable;
    std::int64_t leaseId = 0;
    Duration timeToLive{};
};

/// The platform's key-value service. One call is one attempt, without retries; callers decide what a lost answer means.
class Store
{
public:
    Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    virtual ~Store() = default;

    /// The era that the store was last seen in; see coordination/store_position.h. 0 for one without eras.
    virtual std::int64_t era() const
    {
        return 0;
    }

    virtual StoreReply get(std::string_view key) = 0;

    /// Asks whether the key's last write is still that of `revision`: Ok if so, Conflict if not. As linearizable as `get`, but
    /// a driver may answer it without moving the value.
    virtual StoreReply confirm(std::string_view key, std::int64_t revision)
    {
        StoreReply reply = get(key);
        if (reply.status == StoreStatus::Ok && reply.entry.revision != revision) {
            reply.status = StoreStatus::Conflict;
        }
        return reply;
    }

    /// All keys that begin with `prefix`.
    virtual StoreListReply list(std::string_view prefix) = 0;

    /// Writes `value` if the key's revision is `expectedRevision` (0: the key must not exist). `leaseId` 0 is no lease.
    virtual StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId = 0) = 0;

    /// Deletes the key if its revision is `expectedRevision`.
    virtual StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) = 0;

    /// Waits up to `timeout` for writes under `prefix` after `afterRevision`; Ok with no entries when none came. NotFound: the store
    /// has forgotten writes after that revision, and the keys have to be listed again; `revision` is then the oldest to go on from.
    virtual StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) = 0;

    virtual StoreLeaseReply grantLease(Duration timeToLive) = 0;
    virtual StoreLeaseReply keepAlive(std::int64_t leaseId) = 0;
    virtual StoreLeaseReply revokeLease(std::int64_t leaseId) = 0;
};

} // namespace Lovageloft
