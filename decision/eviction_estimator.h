#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// Estimates which prefixes one engine has evicted, from the prompts that it was sent.
///
/// Designed for engines whose cache holds few prompts: 144,000 tokens are eight prompts of 17,000, which a busy engine is sent in
/// five seconds. Without this estimate a host expects an evicted prefix in the cache for minutes, sends its requests to that
/// engine and keeps no copy on another one. Engines evict the least recently used prefix, so a prefix is evicted once the prompts
/// sent after its last use fill the cache. Not thread-safe.
class EvictionEstimator
{
public:
    EvictionEstimator() = default;
    // The map holds iterators into the list, which stay valid after a move but not after a copy.
    EvictionEstimator(const EvictionEstimator &) = delete;
    EvictionEstimator &operator=(const EvictionEstimator &) = delete;
    EvictionEstimator(EvictionEstimator &&) = default;
    EvictionEstimator &operator=(EvictionEstimator &&) = default;

    /// Sets the capacity of the engine's cache in tokens; 0 means unknown, and no prefix is then evicted.
    void setCapacity(double capacityTokens);

    /// Records that the engine was sent a prompt that adds `newTokens` tokens to its cache; `chain` are the blocks that other prompts may
    /// share. Appends to `evicted` the blocks of the prefixes that the engine can no longer hold. They may include first blocks that
    /// are also part of a prefix still held, as holders are found by their deepest block.
    void onSent(std::span<const BlockHash> chain, double newTokens, std::vector<BlockHash> &evicted);

    /// Whether the prefix with this last block is held.
    bool holds(BlockHash lastBlock) const;

    /// Drops all prefixes; to be called when the engine has lost its cache.
    void clear();

private:
    struct Prefix
    {
        BlockHash lastBlock = 0; ///< Last block of the chain; identifies the prefix.
        std::vector<BlockHash> chain;
        double lastUseAt = 0; ///< Value of sentTokens_ at the last use of the prefix.
    };

    double capacity_ = 0;
    double sentTokens_ = 0;
    std::list<Prefix> prefixes_; ///< Least recently used first.
    std::unordered_map<BlockHash, std::list<Prefix>::iterator> prefixByLastBlock_;
};

} // namespace Lovageloft
