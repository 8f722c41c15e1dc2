#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// A small number for an engine, given out by Placement and stable while the engine is listed.
using EngineIndex = std::uint16_t;

/// Most engines that one host can know; an index takes 11 bits of a cache view entry. Twice the size built towards.
inline constexpr std::size_t maxEngines = 2048;

/// One change of an engine's cache.
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

/// How many leading blocks of a chain an engine is believed to hold.
struct HeldPrefix
{
    EngineIndex engine = 0;
    std::uint16_t blocks = 0;
};

/// Which engine holds which block, as far as this host has heard. Made for 28 million cached blocks and 270,000 events a
/// second over the fleet, of which a host takes its part. The table has a fixed size: when a bucket is full the entry
/// longest untouched goes, so that a flood of events costs memory of nobody and the worst harm is a prefix computed anew.
class CacheView
{
public:
    /// A view for about `blocks` cached blocks; it takes 22 bytes for each.
    explicit CacheView(std::size_t blocks);

    /// Says which start of the engine is the living one. A new incarnation comes back with an empty cache: all entries of
    /// the earlier one are dropped at once. Incarnations grow; an older one than known is ignored.
    void setIncarnation(EngineIndex engine, std::uint64_t incarnation);

    /// Drops all entries of an engine that left.
    void removeEngine(EngineIndex engine);

    /// Applies events numbered from `firstSequence` on. What was applied before is skipped. A gap turns the engine's entries
    /// into hints until the next resync, as an eviction may have been lost. Events of another incarnation are ignored.
    void applyEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events);

    /// Replaces all that is known of an engine by the full list of its blocks; events go on at `nextSequence`.
    void resync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks);

    /// Notes that an engine can't hold these blocks any more.
    void drop(EngineIndex engine, std::span<const BlockHash> blocks);

    /// Notes that an engine holds the blocks of a chain, as it was sent a prompt or has answered one.
    void learn(EngineIndex engine, std::span<const BlockHash> chain);

    /// Whether events of this engine were missed since the last resync.
    bool isHint(EngineIndex engine) const;

    /// Finds engines that hold a prefix of `chain`, longest first, and writes at most `found.size()` of them; returns how many.
    /// Those that hold far less than the first are left out. An engine counts as holding all blocks before its deepest one: they were computed with it and are
    /// evicted after it, while the event that told of them may be lost.
    std::size_t findHolders(std::span<const BlockHash> chain, std::span<HeldPrefix> found) const;

    /// Blocks held over all engines, counting a block once for each engine.
    std::size_t heldBlocks() const;

    /// Memory of the table in bytes.
    std::size_t tableBytes() const;

private:
    // An engine's index and the generation of its entries in one number; 0 is an empty place.
    using Holder = std::uint16_t;

    static constexpr std::size_t holdersPerEntry = 4;
    static constexpr std::size_t entriesPerBucket = 8;
    // A block of an 18-engine fleet may be held everywhere, which takes 5 entries; more would push out all other blocks of the bucket.
    static constexpr std::size_t entriesPerBlock = 5;

    struct Entry
    {
        std::uint64_t tagAndStamp = 0; // The upper 48 bits of the hash, then when it was last touched.
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
        bool isHint = true;
    };

    std::size_t bucketIndex(BlockHash block) const;
    void prefetch(BlockHash block) const;
    bool isLive(Holder holder) const;
    bool hasLiveHolder(const Entry &entry) const;
    void dropAll(EngineIndex engine);
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
