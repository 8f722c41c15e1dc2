#include "decision/cache_view.h"

#include <algorithm>
#include <bitset>

namespace Lovageloft
{

namespace
{

constexpr unsigned generationBits = 5;
constexpr std::uint8_t generationMask = (1U << generationBits) - 1;
constexpr std::uint64_t stampMask = 0xffff;
constexpr std::size_t stampsPerTurnover = 64;
constexpr std::size_t prefetchDistance = 16;
/// Engines that hold this many blocks less than the best one are omitted: they would compute half a second longer.
constexpr std::size_t maxPrefixDeficitBlocks = 16;
/// With 14 entries per 10 blocks, a bucket of 8 overflows for one block in 30, and a block takes at most 24 bytes.
constexpr std::size_t entriesPerTenBlocks = 14;

EngineIndex engineOf(std::uint16_t holder)
{
    return static_cast<EngineIndex>(holder >> generationBits);
}

bool hasTag(std::uint64_t tagAndStamp, BlockHash block)
{
    return ((tagAndStamp ^ block) & ~stampMask) == 0;
}

} // namespace

CacheView::CacheView(std::size_t blocks)
    : buckets_(std::max<std::size_t>(1, blocks * entriesPerTenBlocks / 10 / entriesPerBucket))
    , engines_(maxEngines)
    , storesPerStamp_(std::max<std::size_t>(1, blocks / stampsPerTurnover))
{
}

void CacheView::setIncarnation(EngineIndex engine, std::uint64_t incarnation)
{
    EngineRecord &record = engines_[engine];
    if (incarnation <= record.incarnation) {
        return;
    }
    invalidateEngine(engine);
    record.incarnation = incarnation;
    record.nextSequence = 0;
    record.mayBeStale = false;
}

void CacheView::removeEngine(EngineIndex engine)
{
    invalidateEngine(engine);
    EngineRecord &record = engines_[engine];
    record.incarnation = 0;
    record.nextSequence = 0;
    record.mayBeStale = true;
}

void CacheView::applyEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events)
{
    setIncarnation(engine, incarnation);
    EngineRecord &record = engines_[engine];
    const std::uint64_t end = firstSequence + events.size();
    if (incarnation != record.incarnation || end <= record.nextSequence) {
        return;
    }
    if (firstSequence > record.nextSequence) {
        record.mayBeStale = true;
    } else {
        events = events.subspan(record.nextSequence - firstSequence);
    }
    record.nextSequence = end;
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (i + prefetchDistance < events.size()) {
            prefetch(events[i + prefetchDistance].block);
        }
        apply(engine, events[i]);
    }
}

void CacheView::resync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks)
{
    setIncarnation(engine, incarnation);
    EngineRecord &record = engines_[engine];
    if (incarnation != record.incarnation || nextSequence < record.nextSequence) {
        return;
    }
    invalidateEngine(engine);
    addBlocks(engine, blocks);
    record.nextSequence = nextSequence;
    record.mayBeStale = false;
}

void CacheView::addBlocks(EngineIndex engine, std::span<const BlockHash> chain)
{
    for (const BlockHash block : chain) {
        prefetch(block);
    }
    for (const BlockHash block : chain) {
        store(engine, block);
    }
}

bool CacheView::mayBeStale(EngineIndex engine) const
{
    return engines_[engine].mayBeStale;
}

std::size_t CacheView::findHolders(std::span<const BlockHash> chain, std::span<HeldPrefix> found) const
{
    std::bitset<maxEngines> seen;
    std::size_t count = 0;
    std::size_t end = 0;
    for (std::size_t depth = chain.size(); depth > end; --depth) {
        if (depth > prefetchDistance) {
            prefetch(chain[depth - 1 - prefetchDistance]);
        }
        const BlockHash block = chain[depth - 1];
        for (const Entry &entry : buckets_[bucketIndex(block)].entries) {
            if (!hasTag(entry.tagAndStamp, block)) {
                continue;
            }
            for (const Holder holder : entry.holders) {
                if (!isLive(holder) || seen.test(engineOf(holder))) {
                    continue;
                }
                if (count == found.size()) {
                    return count;
                }
                seen.set(engineOf(holder));
                if (count == 0 && depth > maxPrefixDeficitBlocks) {
                    end = depth - maxPrefixDeficitBlocks;
                }
                found[count++] = {.engine = engineOf(holder), .blocks = static_cast<std::uint16_t>(depth)};
            }
        }
    }
    return count;
}

std::size_t CacheView::heldBlocks() const
{
    std::size_t held = 0;
    for (const EngineRecord &record : engines_) {
        held += record.held;
    }
    return held;
}

std::size_t CacheView::tableBytes() const
{
    return buckets_.size() * sizeof(Bucket);
}

std::size_t CacheView::bucketIndex(BlockHash block) const
{
    return static_cast<std::size_t>(((block & 0xffffffffU) * buckets_.size()) >> 32U);
}

void CacheView::prefetch(BlockHash block) const
{
    const Bucket &bucket = buckets_[bucketIndex(block)];
    __builtin_prefetch(&bucket.entries.front());
    __builtin_prefetch(&bucket.entries[entriesPerBucket / 2]);
}

CacheView::Holder CacheView::holderOf(EngineIndex engine) const
{
    return static_cast<Holder>((static_cast<unsigned>(engine) << generationBits) | engines_[engine].generation);
}

bool CacheView::isLive(Holder holder) const
{
    return holder != 0 && engines_[engineOf(holder)].generation == (holder & generationMask);
}

bool CacheView::hasLiveHolder(const Entry &entry) const
{
    return std::any_of(entry.holders.begin(), entry.holders.end(), [this](Holder holder) { return isLive(holder); });
}

void CacheView::invalidateEngine(EngineIndex engine)
{
    EngineRecord &record = engines_[engine];
    record.held = 0;
    if (record.generation < generationMask) {
        ++record.generation;
        return;
    }
    // Generation numbers wrap around: entries of the first generations that are still in the table would become valid again.
    sweep(engine);
    record.generation = 1;
}

void CacheView::sweep(EngineIndex engine)
{
    for (Bucket &bucket : buckets_) {
        for (Entry &entry : bucket.entries) {
            std::replace_if(
                entry.holders.begin(), entry.holders.end(), [engine](Holder holder) { return holder != 0 && engineOf(holder) == engine; }, Holder{0});
        }
    }
}

void CacheView::apply(EngineIndex engine, const CacheEvent &event)
{
    if (event.kind == CacheEvent::Kind::Stored) {
        store(engine, event.block);
    } else {
        evict(engine, event.block);
    }
}

void CacheView::store(EngineIndex engine, BlockHash block)
{
    if (++stores_ % storesPerStamp_ == 0) {
        ++stamp_;
    }
    Bucket &bucket = buckets_[bucketIndex(block)];
    const Holder wanted = holderOf(engine);
    Holder *slot = nullptr;
    Entry *slotEntry = nullptr;
    std::size_t entries = 0;
    for (Entry &entry : bucket.entries) {
        if (!hasTag(entry.tagAndStamp, block)) {
            continue;
        }
        ++entries;
        for (Holder &holder : entry.holders) {
            if (holder == wanted) {
                entry.tagAndStamp = (block & ~stampMask) | stamp_;
                return;
            }
            if (slot == nullptr && !isLive(holder)) {
                slot = &holder;
                slotEntry = &entry;
            }
        }
    }
    if (slot == nullptr && entries < entriesPerBlock) {
        slotEntry = &entryToReplace(bucket);
        clearEntry(*slotEntry);
        slot = slotEntry->holders.data();
    }
    if (slot == nullptr) {
        return;
    }
    *slot = wanted;
    slotEntry->tagAndStamp = (block & ~stampMask) | stamp_;
    ++engines_[engine].held;
}

void CacheView::removeBlocks(EngineIndex engine, std::span<const BlockHash> blocks)
{
    for (const BlockHash block : blocks) {
        evict(engine, block);
    }
}

void CacheView::evict(EngineIndex engine, BlockHash block)
{
    const Holder wanted = holderOf(engine);
    for (Entry &entry : buckets_[bucketIndex(block)].entries) {
        if (!hasTag(entry.tagAndStamp, block)) {
            continue;
        }
        const auto holder = std::find(entry.holders.begin(), entry.holders.end(), wanted);
        if (holder == entry.holders.end()) {
            continue;
        }
        *holder = 0;
        --engines_[engine].held;
        return;
    }
}

CacheView::Entry &CacheView::entryToReplace(Bucket &bucket)
{
    Entry *oldest = &bucket.entries.front();
    std::uint16_t oldestAge = 0;
    for (Entry &entry : bucket.entries) {
        if (!hasLiveHolder(entry)) {
            return entry;
        }
        const auto age = static_cast<std::uint16_t>(stamp_ - static_cast<std::uint16_t>(entry.tagAndStamp & stampMask));
        if (age > oldestAge) {
            oldest = &entry;
            oldestAge = age;
        }
    }
    return *oldest;
}

void CacheView::clearEntry(Entry &entry)
{
    for (Holder &holder : entry.holders) {
        if (isLive(holder)) {
            --engines_[engineOf(holder)].held;
        }
        holder = 0;
    }
}

} // namespace Lovageloft
