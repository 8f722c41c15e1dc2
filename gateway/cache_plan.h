#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/target.h"

namespace Lovageloft
{

/// What is known of the cached parts of a prompt when it is sent to an engine.
struct CacheQuestion
{
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< Of those, what other prompts may have in common with it.
    std::uint32_t cachedTokens = 0; ///< That the engine is believed to hold.
    std::string_view store; ///< Address of the cache store to use; empty if there is none.
    const Target *holder = nullptr; ///< Another engine that is believed to hold more; null if none is known.
};

/// Where an engine gets and leaves cached parts of a prompt.
struct CachePlan
{
    std::string fetchFrom; ///< Address of an engine or store; empty for none.
    std::string_view saveTo; ///< Address of the store; empty if the prompt is not to be saved.
};

CachePlan planCache(const CacheQuestion &question);

} // namespace Lovageloft
