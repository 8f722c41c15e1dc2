#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/target.h"

namespace Lovageloft
{

/// What is known about the cached parts of a prompt when it is sent to an engine.
struct CachePlanInput
{
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0; ///< Of the prompt tokens, those that other prompts may have in common with it.
    std::uint32_t cachedTokens = 0; ///< Prompt tokens expected in the engine's cache.
    std::string_view store; ///< Address of the cache store to use; empty if there is none.
    const Target *holder = nullptr; ///< Another engine that is expected to have more of the prompt in its cache; null if none is known.
};

/// Where an engine fetches cached parts of a prompt from and where it saves them.
struct CachePlan
{
    std::string fetchFrom; ///< Address of an engine or cache store; empty for none.
    std::string_view saveTo; ///< Address of the cache store, a view of the input's `store`; empty if the prompt is not to be saved.
};

/// Plans the transfers for one prompt. The plan is empty if no part of the prompt is shared. Otherwise the engine fetches from `holder`, or
/// from `store` if no holder is known, also if it may hold all shared parts already. The prompt is saved if the engine has to compute
/// some of the shared parts and at least a quarter of the prompt is shared.
CachePlan planCache(const CachePlanInput &input);

} // namespace Lovageloft
