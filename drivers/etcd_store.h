#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"
#include "core/clock.h"
#include "core/settings.h"
#include "drivers/etcd_watch.h"
#include "drivers/http_connection_pool.h"

namespace Lovageloft
{

/// How the driver reaches the store.
struct EtcdStoreOptions
{
    std::vector<HostAddress> endpoints; ///< Of the HTTP/JSON gateway; at least one.
    Duration callTimeout = std::chrono::seconds(1); ///< Until an answer begins, and between two pieces of it.
    Duration idleLimit = std::chrono::seconds(2); ///< A connection idle for longer isn't used again.
    Duration watchSilenceLimit = std::chrono::seconds(5); ///< A watch silent for longer is started anew.
};

/// The platform's key-value service over etcd v3's published HTTP/JSON mapping. Thread-safe; calls of several threads
/// run at once, each on a connection of its own. An endpoint that can't be reached, or refuses before it performs a
/// call, is followed by the next within the call's timeout. A call that has left is never sent again, so a write
/// that fails then gives AnswerLost, and a read Unavailable.
class EtcdStore : public Store
{
public:
    explicit EtcdStore(const EtcdStoreOptions &options);

    StoreReply get(std::string_view key) override;
    StoreListReply list(std::string_view prefix) override;
    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override;
    StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) override;

    /// Keeps the stream open from call to call, so that the store counts one watch and no write is missed as long as
    /// the caller goes on from the revision of the last answer. NotFound: the store has forgotten writes after
    /// `afterRevision`, and the keys have to be listed again. Unavailable comes at once when no endpoint answers,
    /// so the caller should pause before the next call.
    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override;

    StoreLeaseReply grantLease(Duration timeToLive) override;
    StoreLeaseReply keepAlive(std::int64_t leaseId) override;
    StoreLeaseReply revokeLease(std::int64_t leaseId) override;

private:
    enum class Effect : std::uint8_t
    {
        Read,
        Write,
    };

    struct CallResult
    {
        StoreStatus status = StoreStatus::Unavailable;
        std::string body; ///< Of an answer that is Ok.
    };

    CallResult call(const std::string &path, std::string_view body, Effect effect);
    StoreReply guardedWrite(std::string_view key, std::string_view body);
    StoreLeaseReply leaseCall(const std::string &path, std::string_view body);
    std::unique_ptr<EtcdWatch> openWatch(std::string_view prefix, std::int64_t afterRevision);
    std::unique_ptr<EtcdWatch> takeWatch(std::string_view prefix, std::int64_t afterRevision);
    void keepWatch(std::string_view prefix, std::unique_ptr<EtcdWatch> watch);

    EtcdStoreOptions options_;
    HttpConnectionPool pool_;
    std::mutex watchesMutex_;
    std::map<std::string, std::unique_ptr<EtcdWatch>, std::less<>> watches_; // Open and not waited on just now, by prefix.
};

} // namespace Lovageloft
