#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Lovageloft
{

/// An engine or cache store that is expected to hold shared parts of a prompt.
struct CacheSource
{
    std::string address; ///< "IP:PORT"
    bool isStore = false;
    bool isLocal = false; ///< In the data centre of the engine that is to fetch.
};

/// The source that a fetch takes the least time from; null if there is none. A transfer between data centres takes twice as long. Of two in the
/// same place a store is chosen, as an engine may have evicted the parts or crashed.
const CacheSource *chooseCacheSource(std::span<const CacheSource> sources);

/// What is known about the cached parts of a prompt when it is sent to an engine.
struct CachePlanInput
{
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< Of the prompt tokens, those that other prompts may have in common with it.
    std::uint32_t cachedTokens = 0; ///< Prompt tokens expected in the engine's cache.
    std::string_view store; ///< Address of the cache store to use; empty if there is none.
    std::string_view source; ///< Address of an engine or store that is expected to hold shared parts that the engine lacks; empty if none is known.
};

/// Where an engine fetches cached parts of a prompt from and where it saves them.
struct CachePlan
{
    std::string fetchFrom; ///< Address of an engine or cache store; empty for none.
    std::string_view saveTo; ///< Address of the cache store, a view of the input's `store`; empty if the prompt is not to be saved.
};

/// Plans the transfers for one prompt. The plan is empty if no part of the prompt is shared. Otherwise the engine fetches from `source`, or
/// from `store` if none is known, also if it may hold all shared parts already. The prompt is saved if the engine has to compute
/// some of the shared parts and at least a quarter of the prompt is shared.
CachePlan planCache(const CachePlanInput &input);

} // namespace Lovageloft
