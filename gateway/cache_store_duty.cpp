#include "gateway/cache_store_duty.h"

#include <algorithm>

#include "drivers/http_connection.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

/// Between two questions. Short, as each request that fetches from a dead store loses some hundred milliseconds.
constexpr Duration askPause = std::chrono::milliseconds(700);

/// The store holds a question until something changes; shorter waits are answered at the platform's cost.
constexpr Duration heldTime = std::chrono::milliseconds(250);
constexpr Duration answerLimit = std::chrono::milliseconds(600);
constexpr Duration connectLimit = std::chrono::milliseconds(200);

} // namespace

CacheStoreDuty::CacheStoreDuty(Gateway &gateway, const RelayedStore &store, const EngineControlFormat &format)
    : gateway_(gateway)
    , store_(store)
    , format_(format)
{
}

void CacheStoreDuty::setStores(const std::vector<CacheStore> &stores)
{
    const std::lock_guard lock(mutex_);
    stores_ = stores;
}

void CacheStoreDuty::run()
{
    while (!isStopped()) {
        std::vector<CacheStore> stores;
        if (store_.isRelay()) {
            const std::lock_guard lock(mutex_);
            stores = stores_;
        }
        for (const CacheStore &store : stores) {
            gateway_.post([address = store.address, alive = isAlive(store.address)](Gateway &gateway) { gateway.fleet().announceCacheStore(address, alive); });
        }
        pause(askPause);
    }
}

/// Any answer will do, also one that says that too many ask.
bool CacheStoreDuty::isAlive(const std::string &address)
{
    auto &connection = connections_[address];
    if (connection == nullptr || !connection->isReusable()) {
        const auto parsed = parseHostAddress(address);
        connection = parsed ? HttpConnection::open(*parsed, connectLimit) : nullptr;
    }
    if (connection == nullptr) {
        return false;
    }
    const HttpField wait = format_.longPollField(heldTime);
    return connection->call("GET", format_.cacheEventsPath(), {}, BootClock::now() + answerLimit, {&wait, 1}).has_value();
}

} // namespace Lovageloft
