#include "gateway/cache_plan.h"

#include "decision/prompt_parts.h"

namespace Lovageloft
{

namespace
{

/// A prompt is saved where one token in this many, at least, can be of use to others. A save sends the whole prompt over the store's one
/// link. Where most of it is the caller's own, saves that nobody else can use fill that link: the store takes one in two, and
/// prompts that fetch wait behind them. With this limit engines computed a quarter fewer shared tokens again.
constexpr std::uint32_t leastSavedShare = 4;

/// Whether the engine has to compute some of the shared parts. What it holds is known in whole blocks only.
bool isCold(const CacheQuestion &question)
{
    const std::uint32_t wholeBlocks = question.sharedTokens / partBlockTokens * partBlockTokens;
    return wholeBlocks == 0 || question.cachedTokens < wholeBlocks;
}

} // namespace

/// Short shared parts are fetched as well: a fetch of 570 tokens takes an engine a few milliseconds, as much as computing them, but leaves
/// it free for others.
CachePlan planCache(const CacheQuestion &question)
{
    CachePlan plan;
    if (question.sharedTokens == 0) {
        return plan;
    }
    // The store keeps the last seconds of the fleet's prompts only; an engine that was sent the prefix keeps it longer.
    plan.fetchFrom = question.holder != nullptr ? hostAddressText(question.holder->address) : std::string(question.store);
    if (isCold(question) && question.sharedTokens * leastSavedShare >= question.promptTokens) {
        plan.saveTo = question.store;
    }
    return plan;
}

} // namespace Lovageloft
