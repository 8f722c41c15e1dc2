#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "drivers/http_connection.h"
#include "gateway/duty.h"
#include "gateway/engine_control.h"
#include "gateway/relayed_store.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

class Gateway;

/// Health checks of the cache stores. Runs on every host, but only the relays of the fleet check; they announce the results to the other
/// hosts. The cache stores have no entries of their own that would show their state, and engines that fetch from an unreachable one wait for
/// it.
class CacheStoreDuty final : public Duty
{
public:
    CacheStoreDuty(Gateway &gateway, const RelayedStore &store, const EngineControlFormat &format);

    /// Sets the cache stores of the newest configuration. Thread-safe.
    void setStores(const std::vector<CacheStore> &stores);

private:
    void run() override;
    bool isAlive(const std::string &address);

    Gateway &gateway_;
    const RelayedStore &store_;
    const EngineControlFormat &format_;
    std::mutex mutex_;
    std::vector<CacheStore> cacheStores_;
    std::map<std::string, std::unique_ptr<HttpConnection>> connections_; ///< By address; used only by the duty's thread.
};

} // namespace Lovageloft
