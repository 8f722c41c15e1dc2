#pragma once

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decision/saved_prefixes.h"
#include "gateway/cache_plan.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

/// This host's view of the cache stores: which ones respond, and which prefixes each is expected to hold. For use on the event loop only.
class CacheStores
{
public:
    /// Sets the stores of the newest configuration.
    void setStores(const std::vector<CacheStore> &stores);

    /// A store has begun or stopped to respond. An unreachable store would delay each request by some hundred milliseconds.
    void setAlive(const std::string &address, bool isAlive);

    /// Address of the store that an engine in this data centre should use: one there, else the first one that responds; empty if none does.
    std::string_view storeFor(std::string_view dataCentre) const;

    /// Records that an engine in this data centre saves a prompt of `tokens` tokens. `blocks` are the last blocks of its shared parts.
    void onSaved(std::string_view dataCentre, std::span<const BlockHash> blocks, std::uint32_t tokens);

    /// The responding stores that are expected to hold the prefix that ends with this block.
    std::vector<CacheSource> sourcesOf(BlockHash block, std::string_view dataCentre) const;

private:
    std::vector<CacheStore> stores_;
    std::set<std::string, std::less<>> alive_; ///< Addresses.
    SavedPrefixes saved_;
};

} // namespace Lovageloft
