#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/clock.h"
#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// How a prompt is spread: which block's hash is the rendezvous key and how many of its winners are candidates.
struct PrefixRoute
{
    std::size_t level = 0; ///< Blocks of the prefix that the key stands for, 0 for a prompt without a whole block.
    std::size_t needed = 1; ///< Engines that its heat calls for.
    std::size_t candidates = 2; ///< Winners that are weighed; more than are needed, so that there is a choice.
};

/// Knows which prefixes are hot. Made for few very hot prefixes that shift from chapter to chapter: without it all work of a
/// hot chapter would queue on the two engines that its hash picks while others idle. A prefix whose work passes what its
/// candidates should carry is split one level deeper if its children are shared too, else it gets more candidates; both
/// are taken back when it cools, at half the heat at which they were given, so that a steady load doesn't flap between them.
class PrefixHeat
{
public:
    /// `splitLoad` is the work in engine-seconds a second that one candidate is given before a prefix is spread further.
    explicit PrefixHeat(double splitLoad);

    /// The route of a prompt with this chain.
    PrefixRoute route(std::span<const BlockHash> chain, TimePoint now) const;

    /// Adds the work of one prompt, in engine-seconds, to its prefixes of all levels.
    void add(std::span<const BlockHash> chain, double work, TimePoint now);

private:
    struct Entry
    {
        BlockHash block = 0;
        TimePoint updated;
        float load = 0; // Engine-seconds a second, decaying.
        bool isSplit = false;
    };

    const Entry *find(BlockHash block) const;
    Entry &findOrReplace(BlockHash block, TimePoint now);
    double loadOf(const Entry &entry, TimePoint now) const;

    std::vector<Entry> entries_;
    double splitLoad_;
};

} // namespace Lovageloft
