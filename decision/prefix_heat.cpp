#include "decision/prefix_heat.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Prefixes whose load is tracked. Only prefixes with at least a twentieth of an engine's load matter; with 1,000 engines there are at most
/// 20,000 of them per level.
constexpr std::size_t entryCount = 32'768;
/// Slots per set that may hold a prefix; the one with the least load is replaced.
constexpr std::size_t associativity = 4;

/// Prefix lengths in blocks that can be a rendezvous key. Powers of two limit one prompt to nine entries.
constexpr std::array<std::size_t, 9> levels{1, 2, 4, 8, 16, 32, 64, 128, 256};

/// Level of a prefix of unknown load. At a lower level a restarted host would send all requests of a team to two engines until it had
/// measured the load; at a higher one it would scatter the prompts of one shared prefix over the fleet.
constexpr std::size_t initialLevel = 16;

/// Time in which the load decays to about a third. A prefix becomes hot within a second; a few seconds smooth out single requests.
constexpr double decaySeconds = 2.5;

/// A child with less than this fraction of its parent's load is not shared: as a key it would scatter the prompts that have the
/// parent in common.
constexpr double minSharedFraction = 0.1;
constexpr double mergeFraction = 0.5;

constexpr std::size_t minCandidates = 2;
/// With more candidates, copies of a hot prefix would fill the caches of the fleet.
constexpr std::size_t maxCandidates = 16;

} // namespace

PrefixHeat::PrefixHeat(double splitLoad)
    : entries_(entryCount)
    , splitLoad_(splitLoad)
{
}

PrefixRoute PrefixHeat::route(std::span<const BlockHash> chain, TimePoint now) const
{
    PrefixRoute route;
    double load = 0;
    for (const std::size_t level : levels) {
        if (level > chain.size()) {
            break;
        }
        const Entry *entry = find(chain[level - 1]);
        const double levelLoad = entry == nullptr ? 0 : loadOf(*entry, now);
        if (level > initialLevel && levelLoad < minSharedFraction * load) {
            break;
        }
        route.level = level;
        load = levelLoad;
        if (level >= initialLevel && (entry == nullptr || !entry->isSplit)) {
            break;
        }
    }
    route.replicas = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(load / splitLoad_)), 1, maxCandidates);
    route.candidates = std::max(route.replicas, minCandidates);
    return route;
}

void PrefixHeat::add(std::span<const BlockHash> chain, double work, TimePoint now)
{
    for (const std::size_t level : levels) {
        if (level > chain.size()) {
            return;
        }
        Entry &entry = findOrReplace(chain[level - 1], now);
        const double load = loadOf(entry, now) + work / decaySeconds;
        const double limit = splitLoad_ * static_cast<double>(minCandidates);
        entry.load = static_cast<float>(load);
        entry.updated = now;
        entry.isSplit = load > (entry.isSplit ? mergeFraction * limit : limit);
    }
}

const PrefixHeat::Entry *PrefixHeat::find(BlockHash block) const
{
    const std::size_t first = block % (entryCount / associativity) * associativity;
    const std::span<const Entry> slots = std::span(entries_).subspan(first, associativity);
    const auto found = std::find_if(slots.begin(), slots.end(), [block](const Entry &entry) { return entry.block == block; });
    return found == slots.end() ? nullptr : &*found;
}

PrefixHeat::Entry &PrefixHeat::findOrReplace(BlockHash block, TimePoint now)
{
    const std::size_t first = block % (entryCount / associativity) * associativity;
    const std::span<Entry> slots = std::span(entries_).subspan(first, associativity);
    Entry *coldest = &slots.front();
    for (Entry &entry : slots) {
        if (entry.block == block) {
            return entry;
        }
        if (loadOf(entry, now) < loadOf(*coldest, now)) {
            coldest = &entry;
        }
    }
    *coldest = Entry{.block = block, .updated = now};
    return *coldest;
}

double PrefixHeat::loadOf(const Entry &entry, TimePoint now) const
{
    return entry.load * std::exp(-toSeconds(now - entry.updated) / decaySeconds);
}

} // namespace Lovageloft
