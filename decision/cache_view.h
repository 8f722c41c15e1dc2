#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// Index of an engine, assigned by Placement and stable while the engine is listed.
using EngineIndex = std::uint16_t;

/// Maximum engines that one host can track; an index takes 11 bits of a cache view entry. Twice the fleet size designed for.
inline constexpr std::size_t maxEngines = 2048;

/// One change in an engine's cache.
struct CacheEvent
{
    enum class Kind : std::uint8_t
    {
        Stored,
        Evicted,
    };

    BlockHash block = 0;
    Kind kind = Kind::Stored;
};

/// Number of leading blocks of a chain that an engine is expected to hold.
struct HeldPrefix
{
    EngineIndex engine = 0;
    std::uint16_t blocks = 0;
};

/// Tracks which engine holds which block, from the events that this host has received. Designed for 28 million cached blocks and
/// 270,000 events per second over the fleet, of which each host handles a share. The table has a fixed size: a full bucket replaces
/// an entry without holders, or else the one that was stored longest ago. A flood of events therefore takes no extra memory, and at worst a prefix is
/// recomputed.
class CacheView
{
public:
    /// Creates a view for about `blocks` cached blocks; it takes 22 to 24 bytes per block.
    explicit CacheView(std::size_t blocks);

    /// Sets the current incarnation of the engine. A new incarnation starts with an empty cache, so all entries of the previous one
    /// are dropped at once. Incarnations increase; an older one is ignored.
    void setIncarnation(EngineIndex engine, std::uint64_t incarnation);

    /// Drops all entries of a removed engine.
    void removeEngine(EngineIndex engine);

    /// Applies events numbered from `firstSequence` on and skips those already applied. After a gap the engine's entries may be stale
    /// until the next resync, as an eviction may have been lost. Events of an older incarnation are ignored.
    void applyEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events);

    /// Replaces the entries of an engine with the full list of its blocks; events continue at `nextSequence`. Ignored if the incarnation
    /// or `nextSequence` is older than the current one.
    void resync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks);

    /// Removes blocks that an engine can no longer hold.
    void removeBlocks(EngineIndex engine, std::span<const BlockHash> blocks);

    /// Adds the blocks of a chain that an engine holds because it was sent the prompt. A block that about 20 engines hold already is not
    /// recorded for further ones.
    void addBlocks(EngineIndex engine, std::span<const BlockHash> chain);

    /// Returns whether the engine's entries may be stale: events were missed since the last resync, or it has no incarnation yet.
    bool mayBeStale(EngineIndex engine) const;

    /// Finds engines that hold a prefix of `chain`, longest first, and writes at most `found.size()` of them; returns their number.
    /// Engines that hold 16 or more blocks less than the first are omitted. An engine counts as holding all blocks before its deepest one: they were
    /// computed with it and are evicted after it, while their own events may have been lost.
    std::size_t findHolders(std::span<const BlockHash> chain, std::span<HeldPrefix> found) const;

    /// Returns the number of blocks held by all engines; a block counts once per engine.
    std::size_t heldBlocks() const;

    /// Returns the size of the table in bytes.
    std::size_t tableBytes() const;

private:
    // Engine index and generation of its entries; 0 is an empty slot.
    using Holder = std::uint16_t;

    static constexpr std::size_t holdersPerEntry = 4;
    static constexpr std::size_t entriesPerBucket = 8;
    // Enough for a block that all of 18 engines hold; more entries per block would evict all other blocks of the bucket.
    static constexpr std::size_t entriesPerBlock = 5;

    struct Entry
    {
        std::uint64_t tagAndStamp = 0; // Upper 48 bits of the hash, then the stamp of the last time it was stored.
        std::array<Holder, holdersPerEntry> holders{};
    };

    struct alignas(128) Bucket
    {
        std::array<Entry, entriesPerBucket> entries;
    };

    struct EngineRecord
    {
        std::uint64_t incarnation = 0;
        std::uint64_t nextSequence = 0;
        std::size_t held = 0;
        std::uint8_t generation = 1;
        bool mayBeStale = true;
    };

    std::size_t bucketIndex(BlockHash block) const;
    void prefetch(BlockHash block) const;
    bool isLive(Holder holder) const;
    bool hasLiveHolder(const Entry &entry) const;
    void invalidateEngine(EngineIndex engine);
    void sweep(EngineIndex engine);
    void apply(EngineIndex engine, const CacheEvent &event);
    void store(EngineIndex engine, BlockHash block);
    void evict(EngineIndex engine, BlockHash block);
    Entry &entryToReplace(Bucket &bucket);
    void clearEntry(Entry &entry);
    Holder holderOf(EngineIndex engine) const;

    std::vector<Bucket> buckets_;
    std::vector<EngineRecord> engines_;
    std::uint64_t stores_ = 0;
    std::uint64_t storesPerStamp_ = 1;
    std::uint16_t stamp_ = 0;
};

} // namespace Lovageloft
