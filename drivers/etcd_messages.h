#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"
#include "core/clock.h"

/// The bodies of etcd v3's JSON mapping that the driver sends and reads.
namespace Lovageloft
{

std::string etcdGetCall(std::string_view key);
std::string etcdListCall(std::string_view prefix);

/// Writes `value` if the key's revision is `expectedRevision`, and reads the key otherwise.
std::string etcdSwapCall(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId);

/// Deletes the key if its revision is `expectedRevision`, and reads it otherwise.
std::string etcdDeleteCall(std::string_view key, std::int64_t expectedRevision);

/// Watches all keys that begin with `prefix` from the write with `startRevision` on.
std::string etcdWatchCall(std::string_view prefix, std::int64_t startRevision);

/// Leases last whole seconds there; a part of a second counts as one more.
std::string etcdGrantCall(Duration timeToLive);

/// A call that names nothing but a lease.
std::string etcdLeaseCall(std::int64_t leaseId);

/// Answer to a get or a list.
struct EtcdRangeAnswer
{
    std::int64_t revision = 0;
    std::vector<StoreEntry> entries;
};

/// Answer to a guarded write.
struct EtcdTxnAnswer
{
    bool isSuccess = false;
    std::int64_t revision = 0;
    std::vector<StoreEntry> entries; ///< The key as it stands after a failed comparison; empty if it doesn't exist.
};

/// Answer to a call about a lease.
struct EtcdLeaseAnswer
{
    std::int64_t leaseId = 0;
    Duration timeToLive{}; ///< 0: there is no such lease.
};

/// One line of a watch.
struct EtcdWatchLine
{
    std::vector<StoreEntry> entries;
    bool isCanceled = false;
    std::int64_t compactRevision = 0; ///< Above 0 if the watch was canceled because earlier writes are forgotten.
};

/// The parse functions give nothing for a text that isn't the whole of such an answer.
std::optional<EtcdRangeAnswer> parseEtcdRange(std::string_view json);
std::optional<EtcdTxnAnswer> parseEtcdTxn(std::string_view json);
std::optional<EtcdLeaseAnswer> parseEtcdLease(std::string_view json);
std::optional<EtcdWatchLine> parseEtcdWatchLine(std::string_view json);

/// The gRPC status code and the text of an error answer.
struct EtcdError
{
    std::int64_t code = 0;
    std::string text;
};

EtcdError parseEtcdError(std::string_view json);

} // namespace Lovageloft
