#include "gateway/cache_stores.h"

#include "core/log.h"

namespace Lovageloft
{

void CacheStores::setStores(const std::vector<CacheStore> &stores)
{
    stores_ = stores;
    for (const CacheStore &store : stores_) {
        saved_.setCapacity(store.address, static_cast<double>(store.tokens));
    }
}

void CacheStores::setAlive(const std::string &address, bool isAlive)
{
    if (alive_.contains(address) == isAlive) {
        return;
    }
    writeLog(LogLevel::Info, isAlive ? "cache_store_answers" : "cache_store_lost", {{"address", address}});
    if (isAlive) {
        alive_.insert(address);
    } else {
        alive_.erase(address);
        saved_.clear(address);
    }
}

std::string_view CacheStores::storeFor(std::string_view dataCentre) const
{
    std::string_view fallback;
    for (const CacheStore &store : stores_) {
        if (!alive_.contains(store.address)) {
            continue;
        }
        if (store.dataCentre == dataCentre) {
            return store.address;
        }
        fallback = fallback.empty() ? std::string_view(store.address) : fallback;
    }
    return fallback;
}

void CacheStores::onSaved(std::string_view dataCentre, std::span<const BlockHash> blocks, std::uint32_t tokens)
{
    saved_.onSaved(storeFor(dataCentre), blocks, tokens);
}

std::vector<CacheSource> CacheStores::sourcesOf(BlockHash block, std::string_view dataCentre) const
{
    std::vector<CacheSource> sources;
    for (const CacheStore &store : stores_) {
        if (alive_.contains(store.address) && saved_.holds(store.address, block)) {
            sources.push_back({store.address, true, store.dataCentre == dataCentre});
        }
    }
    return sources;
}

} // namespace Lovageloft
