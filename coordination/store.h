#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

/// The operations that the router needs from the platform's key-value service: compare-and-swap of single keys, lists, watches and
/// leases. Drivers implement this interface; packages without I/O access the service only through it.
namespace Lovageloft
{

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t
{
    Ok,
    Conflict, ///< The key's revision was not the expected one; nothing was written.
    NotFound, ///< No such key or lease.
    Unavailable, ///< No result, and nothing was written: the call was not sent, the store refused it, or a read got no answer.
    AnswerLost, ///< The call was sent and no answer arrived: a write may or may not have taken effect.
};

/// A key with its value.
struct StoreEntry
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< Position of the last write to this key (see store_position.h), at least 1; 0 if the key does not exist.
    bool isDeleted = false; ///< In a watch reply: the key was deleted or its lease expired.
};

/// Reply to a call for one key. After a Conflict, `entry` holds the current key if the store returns it.
struct StoreReply
{
    StoreStatus status = StoreStatus::Unavailable;
    StoreEntry entry;
    Duration age{}; ///< Age of the reply at the start of the call: 0 if this host asked the store itself, more if another host did.
};

/// Reply to a list or a watch. `revision` is the store's revision that the reply reflects. The last four members are set by a store that also
/// receives changes and replies through other hosts; they stay at their defaults for a store that asks the service directly.
struct StoreListReply
{
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreEntry> entries; ///< Of a list: ascending by key. Of a watch: in the order of the writes.
    std::int64_t revision = 0;
    Duration silence{}; ///< For how long nothing had been received before the entries: they may have been written at any time in it.
    Duration age{}; ///< Age of the reply at the start of the call; 0 if it is not older than the call.

    /// How long the service had answered no host before the entries arrived, so that leases may have expired; zero if there was no outage,
    /// nothing if that is not known.
    std::optional<Duration> outage{};

    /// How long before the reply the service began to answer again after that outage, as far as it is known.
    Duration returnAge{};
};

/// Reply to a call for a lease.
struct StoreLeaseReply
{
    StoreStatus status = StoreStatus::Unavailable;
    std::int64_t leaseId = 0;
    Duration timeToLive{};
};

/// The platform's key-value service. Each call is a single attempt without retries; the caller decides how to handle a lost answer.
class Store
{
public:
    Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    virtual ~Store() = default;

    /// The era in which the store was last observed; see coordination/store_position.h. 0 for a store without eras.
    virtual std::int64_t era() const
    {
        return 0;
    }

    virtual StoreReply get(std::string_view key) = 0;

    /// Checks whether the last write to the key is still that of `revision`: Ok if so, Conflict if not. Linearizable like `get`, but a
    /// driver may answer without transferring the value.
    virtual StoreReply confirm(std::string_view key, std::int64_t revision)
    {
        StoreReply reply = get(key);
        if (reply.status == StoreStatus::Ok && reply.entry.revision != revision) {
            reply.status = StoreStatus::Conflict;
        }
        return reply;
    }

    /// Returns all keys that start with `prefix`.
    virtual StoreListReply list(std::string_view prefix) = 0;

    /// Writes `value` if the key's revision is `expectedRevision` (0: the key must not exist); otherwise Conflict, also if the key was
    /// deleted. A `leaseId` of 0 attaches no lease. If the lease has expired, nothing is written and the reply is NotFound.
    virtual StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId = 0) = 0;

    /// Deletes the key if its revision is `expectedRevision`; otherwise Conflict, or NotFound if the key does not exist.
    virtual StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) = 0;

    /// Waits up to `timeout` for writes under `prefix` after `afterRevision`; Ok without entries if there were none. NotFound: the store
    /// has compacted writes after that revision, and the keys have to be listed again; `revision` is then the oldest one from which a
    /// watch can continue.
    virtual StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) = 0;

    /// Creates a lease. The store may grant another time to live than requested; the reply has the granted one.
    virtual StoreLeaseReply grantLease(Duration timeToLive) = 0;

    /// Restarts the time to live of a lease; NotFound if it has expired.
    virtual StoreLeaseReply keepAlive(std::int64_t leaseId) = 0;

    /// Ends a lease and deletes the keys to which it is attached; NotFound if it has expired.
    virtual StoreLeaseReply revokeLease(std::int64_t leaseId) = 0;
};

} // namespace Lovageloft
