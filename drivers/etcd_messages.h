#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"
#include "core/clock.h"

/// Requests and responses of etcd v3's JSON mapping.
namespace Lovageloft
{

std::string etcdGetCall(std::string_view key);
std::string etcdListCall(std::string_view prefix);

/// A transaction that writes `value` if the key's revision is `expectedRevision`, and reads the key otherwise.
std::string etcdSwapCall(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId);

/// A transaction that deletes the key if its revision is `expectedRevision`, and reads it otherwise.
std::string etcdDeleteCall(std::string_view key, std::int64_t expectedRevision);

/// A watch of all keys with a prefix, from the write with `startRevision` on.
std::string etcdWatchCall(std::string_view prefix, std::int64_t startRevision);

/// A lease grant. The time to live is rounded up to whole seconds.
std::string etcdGrantCall(Duration timeToLive);

/// A call that only names a lease.
std::string etcdLeaseCall(std::int64_t leaseId);

/// Response to a get or a list.
struct EtcdRangeAnswer
{
    std::int64_t revision = 0;
    std::vector<StoreEntry> entries;
};

/// Response to a transaction.
struct EtcdTxnAnswer
{
    bool isSuccess = false;
    std::int64_t revision = 0;
    std::vector<StoreEntry> entries; ///< The key's current entry after a failed comparison; empty if the key does not exist.
};

/// Response to a call about a lease.
struct EtcdLeaseAnswer
{
    std::int64_t leaseId = 0;
    Duration timeToLive{}; ///< 0 if the lease does not exist.
};

/// A line of a watch stream.
struct EtcdWatchLine
{
    std::vector<StoreEntry> entries;
    bool isCanceled = false;
    std::int64_t compactRevision = 0; ///< Positive if the watch was canceled because earlier writes were compacted.
};

/// The parse functions return nothing if the text is not a complete response of this type.
std::optional<EtcdRangeAnswer> parseEtcdRange(std::string_view json);
std::optional<EtcdTxnAnswer> parseEtcdTxn(std::string_view json);
std::optional<EtcdLeaseAnswer> parseEtcdLease(std::string_view json);
std::optional<EtcdWatchLine> parseEtcdWatchLine(std::string_view json);

/// The gRPC status code and the message of an error response.
struct EtcdError
{
    std::int64_t code = 0;
    std::string text;
};

EtcdError parseEtcdError(std::string_view json);

} // namespace Lovageloft
