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

/// Endpoints and timeouts of EtcdStore.
struct EtcdStoreOptions
{
    std::vector<HostAddress> endpoints; ///< HTTP/JSON gateways; at least one.
    Duration callTimeout = std::chrono::seconds(1); ///< For the start of a response, and between two parts of it.
    Duration idleLimit = std::chrono::seconds(2); ///< Connections that were idle for longer are not reused.
    Duration watchSilenceLimit = std::chrono::seconds(5); ///< A watch that is silent for longer is reopened.
};

/// Client of etcd v3 over its HTTP/JSON mapping. Thread-safe; concurrent calls use different connections. If an endpoint can't be reached, or
/// rejects a call without executing it, the next one is tried within the call's timeout. A call that was sent is never repeated: if it fails, a
/// write returns AnswerLost and a read Unavailable.
class EtcdStore : public Store
{
public:
    explicit EtcdStore(const EtcdStoreOptions &options);

    StoreReply get(std::string_view key) override;
    StoreListReply list(std::string_view prefix) override;
    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override;
    StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) override;

    /// Keeps the stream open between calls, so that the store has one watch and no write is missed as long as the caller continues from the revision
    /// of the last reply. Returns NotFound if the store has compacted writes after `afterRevision`: the keys must be listed again. Returns
    /// Unavailable at once if no endpoint responds; the caller should then wait before the next call.
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
        std::string body; ///< Of a successful response.
    };

    CallResult call(const std::string &path, std::string_view body, Effect effect);
    StoreReply conditionalWrite(std::string_view key, std::string_view body);
    StoreLeaseReply callLease(const std::string &path, std::string_view body);
    std::unique_ptr<EtcdWatch> openWatch(std::string_view prefix, std::int64_t afterRevision);
    std::unique_ptr<EtcdWatch> acquireWatch(std::string_view prefix, std::int64_t afterRevision);
    void releaseWatch(std::string_view prefix, std::unique_ptr<EtcdWatch> watch);

    EtcdStoreOptions options_;
    HttpConnectionPool pool_;
    std::mutex watchesMutex_;
    std::map<std::string, std::unique_ptr<EtcdWatch>, std::less<>> watches_; // Open watches that no call is waiting on, by prefix.
};

} // namespace Lovageloft
