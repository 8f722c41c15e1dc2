#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// Which prefixes one engine can still hold, reckoned from what it was sent.
///
/// Made for engines whose memory holds few prompts: at 144,000 tokens and 17,000 a prompt, eight of them, which a busy engine is sent in
/// five seconds. Without this a host believes for minutes in a prefix that has long been evicted, sends its requests to that
/// engine and has no copy kept elsewhere. Engines evict what was used least recently, so a prefix is gone once prompts of the
/// engine's whole memory came after its last use. Not thread-safe.
class EvictionEstimator
{
public:
    EvictionEstimator() = default;
    // Its index points into its list, which a move takes along and a copy doesn't.
    EvictionEstimator(const EvictionEstimator &) = delete;
    EvictionEstimator &operator=(const EvictionEstimator &) = delete;
    EvictionEstimator(EvictionEstimator &&) = default;
    EvictionEstimator &operator=(EvictionEstimator &&) = default;

    /// `capacityTokens`: the engine's memory; 0 for not known, then nothing is ever dropped.
    void setCapacity(double capacityTokens);

    /// The engine was sent a prompt of `tokens` whose shared blocks are `chain`. Appends to `dropped` the blocks of prefixes that it can
    /// hold no longer.
    void onSent(std::span<const BlockHash> chain, double tokens, std::vector<BlockHash> &dropped);

    /// The engine has lost everything.
    void clear();

private:
    struct Prefix
    {
        BlockHash last = 0; ///< Of the chain, by which it is known.
        std::vector<BlockHash> chain;
        double sentAt = 0; ///< Tokens sent to the engine before its last use.
    };

    double capacity_ = 0;
    double sent_ = 0;
    std::list<Prefix> prefixes_; ///< The one used least recently in front.
    std::unordered_map<BlockHash, std::list<Prefix>::iterator> byLast_;
};

} // namespace Lovageloft
