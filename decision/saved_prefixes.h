#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decision/eviction_estimator.h"
#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// Tracks which cache stores hold which prefixes, from the prompts that engines were told to save there. A prefix counts as evicted once the
/// prompts saved after its last use fill the store. Not thread-safe.
class SavedPrefixes
{
public:
    /// Sets the capacity of a store in tokens. Prefixes saved to a store of unknown capacity, 0, are not tracked.
    void setCapacity(std::string_view store, double tokens);

    /// Records that a prompt of `tokens` tokens was saved; `blocks` are the last blocks of its parts that other prompts may share.
    void onSaved(std::string_view store, std::span<const BlockHash> blocks, double tokens);

    /// Drops what a store held, as it restarted empty.
    void clear(std::string_view store);

    /// Whether the store is expected to hold the prefix that ends with this block.
    bool holds(std::string_view store, BlockHash block) const;

private:
    std::map<std::string, EvictionEstimator, std::less<>> stores_;
    std::vector<BlockHash> evictedScratch_;
};

} // namespace Lovageloft
