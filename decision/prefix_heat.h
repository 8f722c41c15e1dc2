#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/clock.h"
#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// Routing of a prompt: which block's hash is the rendezvous key, and how many of its winners are candidates.
struct PrefixRoute
{
    std::size_t level = 0; ///< Prefix length in blocks whose last hash is the key; 0 for a prompt shorter than a block.
    std::size_t replicas = 1; ///< Engines that should hold the prefix at its current load.
    std::size_t candidates = 2; ///< Winners that are evaluated; at least two, so that there is a choice.
};

/// Tracks the load of prefixes and finds the hot ones. Prefixes are measured at levels, which are lengths of 1, 2, 4 to 256 blocks; the
/// children of a prefix are its continuations at the next level. To split a prefix is to use the hash of the child as the rendezvous
/// key. A prefix of unknown load has its key at 16 blocks, or at the longest level of a shorter prompt. Designed for a few very hot prefixes that change over
/// time: without it all requests of a hot prefix would queue on the two engines that its hash selects while others are idle. A prefix whose load exceeds the
/// limit of its candidates is split one level deeper if its children are shared as well, otherwise it gets more candidates, 16 at most. A split is undone at
/// half the load at which it was made, so that a steady load does not alternate between the two.
class PrefixHeat
{
public:
    /// `splitLoad` is the load per candidate, in engine-seconds per second, above which a prefix is spread further.
    explicit PrefixHeat(double splitLoad);

    /// Returns the route of a prompt with this chain.
    PrefixRoute route(std::span<const BlockHash> chain, TimePoint now) const;

    /// Adds the work of one prompt, in engine-seconds, to its prefixes at all levels.
    void add(std::span<const BlockHash> chain, double work, TimePoint now);

private:
    struct Entry
    {
        BlockHash block = 0;
        TimePoint updated;
        float load = 0; // Engine-seconds per second, with exponential decay.
        bool isSplit = false;
    };

    const Entry *find(BlockHash block) const;
    Entry &findOrReplace(BlockHash block, TimePoint now);
    double loadOf(const Entry &entry, TimePoint now) const;

    std::vector<Entry> entries_;
    double splitLoad_;
};

} // namespace Lovageloft
