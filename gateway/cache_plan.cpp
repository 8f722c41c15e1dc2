#include "gateway/cache_plan.h"

#include <algorithm>
#include <utility>

#include "decision/prompt_parts.h"

namespace Lovageloft
{

namespace
{

/// A prompt is saved only if at least one token in this many is shared with other prompts. A save sends the whole prompt over the cache
/// store's single network link. Without the limit, saves of prompts that are mostly unique fill that link: the store accepts only
/// every second save, and fetches wait behind them. With the limit, engines recompute a quarter fewer shared tokens.
constexpr std::uint32_t maxPromptToSharedRatio = 4;

/// Whether the engine has to compute some of the shared parts. Its cached tokens are known in whole blocks only, so
/// shared parts that are shorter than a block always count as uncached.
bool hasUncachedBlocks(const CachePlanInput &input)
{
    const std::uint32_t wholeBlockTokens = input.sharedTokens / partBlockTokens * partBlockTokens;
    return wholeBlockTokens == 0 || input.cachedTokens < wholeBlockTokens;
}

} // namespace

const CacheSource *chooseCacheSource(std::span<const CacheSource> sources)
{
    const auto best = std::max_element(sources.begin(), sources.end(), [](const CacheSource &left, const CacheSource &right) {
        return std::pair(left.isLocal, left.isStore) < std::pair(right.isLocal, right.isStore);
    });
    return best == sources.end() ? nullptr : &*best;
}

CachePlan planCache(const CachePlanInput &input)
{
    CachePlan plan;
    if (input.sharedTokens == 0) {
        return plan;
    }
    // Short shared parts are fetched as well: a fetch of 570 tokens takes a few milliseconds, as long as computing them, but leaves the
    // engine free for other requests.
    plan.fetchFrom = input.source.empty() ? input.store : input.source;
    if (hasUncachedBlocks(input) && input.sharedTokens * maxPromptToSharedRatio >= input.promptTokens) {
        plan.saveTo = input.store;
    }
    return plan;
}

} // namespace Lovageloft
