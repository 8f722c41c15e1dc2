#include "gateway/cache_store_duty.h"

#include <algorithm>

#include "drivers/http_connection.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

/// Pause between two health checks. Short, because each request that fetches from a dead store loses some hundred milliseconds.
constexpr Duration pauseBetweenChecks = std::chrono::milliseconds(700);

/// Timeout of the long poll: the store responds when something changes. Shorter polls would cost the platform more.
constexpr Duration longPollTimeout = std::chrono::milliseconds(250);
constexpr Duration responseTimeout = std::chrono::milliseconds(600);
constexpr Duration connectTimeout = std::chrono::milliseconds(200);

/// Time within which requests show that this host has lost its links, so that it does not report the store as lost.
constexpr Duration linkDetectionTime = std::chrono::milliseconds(300);

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
    cacheStores_ = stores;
}

void CacheStoreDuty::run()
{
    while (!isStopped()) {
        std::vector<CacheStore> stores;
        if (store_.isRelay()) {
            const std::lock_guard lock(mutex_);
            stores = cacheStores_;
        }
        for (const CacheStore &store : stores) {
            const bool alive = isAlive(store.address);
            if (!alive) {
                sleepFor(linkDetectionTime);
            }
            gateway_.post([address = store.address, alive](Gateway &gateway) { gateway.fleet().announceCacheStore(address, alive); });
        }
        sleepFor(pauseBetweenChecks);
    }
}

/// Whether the store responds. Any response counts, including one that reports too many requests.
bool CacheStoreDuty::isAlive(const std::string &address)
{
    auto &connection = connections_[address];
    if (connection == nullptr || !connection->isReusable()) {
        const auto parsed = parseHostAddress(address);
        connection = parsed ? HttpConnection::open(*parsed, connectTimeout) : nullptr;
    }
    if (connection == nullptr) {
        return false;
    }
    const HttpField longPoll = format_.longPollField(longPollTimeout);
    return connection->call("GET", format_.cacheEventsPath(), {}, BootClock::now() + responseTimeout, {maxShortBodyBytes, {&longPoll, 1}}).has_value();
}

} // namespace Lovageloft
