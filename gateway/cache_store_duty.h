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

/// Watches whether the cache stores answer, on the relays of the fleet, which tell the others. The stores are on no list, and engines
/// that fetch from a dead one wait for it.
class CacheStoreDuty final : public Duty
{
public:
    CacheStoreDuty(Gateway &gateway, const RelayedStore &store, const EngineControlFormat &format);

    /// For any thread: the stores of the newest configuration.
    void setStores(const std::vector<CacheStore> &stores);

private:
    void run() override;
    bool isAlive(const std::string &address);

    Gateway &gateway_;
    const RelayedStore &store_;
    const EngineControlFormat &format_;
    std::mutex mutex_;
    std::vector<CacheStore> stores_;
    std::map<std::string, std::unique_ptr<HttpConnection>> connections_; ///< This thread's own.
};

} // namespace Lovageloft
