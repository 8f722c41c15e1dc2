#include "decision/prefix_heat.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Prefixes whose heat is kept. A prefix needs a twentieth of an engine to matter, so 1,000 engines have 20,000 such at most.
constexpr std::size_t entryCount = 32'768;
/// Places that a prefix may stand in; the coldest of them gives way.
constexpr std::size_t associativity = 4;

/// Prefix lengths in blocks at which a prompt can be spread. Doubling keeps the work of one prompt at eight entries.
constexpr std::array<std::size_t, 9> levels{1, 2, 4, 8, 16, 32, 64, 128, 256};

/// Level of a prefix of unknown heat. Nearer to the root a restarted host would send all of a team to two engines until it had
/// learned better; beyond it prompts of one chapter would be scattered over the fleet.
constexpr std::size_t startLevel = 16;

/// Time in which heat falls to a third. A chapter becomes hot within a second; a few seconds are enough to smooth single requests.
constexpr double coolingSeconds = 2.5;

/// A child that has less than this part of its parent's heat isn't shared: a key there would scatter prompts that have the
/// parent in common.
constexpr double sharedPart = 0.1;
constexpr double mergePart = 0.5;

constexpr std::size_t leastCandidates = 2;
/// Beyond this a hot prefix fills the caches of the fleet with copies of itself.
constexpr std::size_t mostCandidates = 16;

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
        if (level > startLevel && levelLoad < sharedPart * load) {
            break;
        }
        route.level = level;
        load = levelLoad;
        if (level >= startLevel && (entry == nullptr || !entry->isSplit)) {
            break;
        }
    }
    route.needed = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(load / splitLoad_)), 1, mostCandidates);
    route.candidates = std::max(route.needed, leastCandidates);
    return route;
}

void PrefixHeat::add(std::span<const BlockHash> chain, double work, TimePoint now)
{
    for (const std::size_t level : levels) {
        if (level > chain.size()) {
            return;
        }
        Entry &entry = findOrReplace(chain[level - 1], now);
        const double load = loadOf(entry, now) + work / coolingSeconds;
        const double limit = splitLoad_ * static_cast<double>(leastCandidates);
        entry.load = static_cast<float>(load);
        entry.updated = now;
        entry.isSplit = load > (entry.isSplit ? mergePart * limit : limit);
    }
}

const PrefixHeat::Entry *PrefixHeat::find(BlockHash block) const
{
    const std::size_t first = block % (entryCount / associativity) * associativity;
    const std::span<const Entry> places = std::span(entries_).subspan(first, associativity);
    const auto found = std::find_if(places.begin(), places.end(), [block](const Entry &entry) { return entry.block == block; });
    return found == places.end() ? nullptr : &*found;
}

PrefixHeat::Entry &PrefixHeat::findOrReplace(BlockHash block, TimePoint now)
{
    const std::size_t first = block % (entryCount / associativity) * associativity;
    const std::span<Entry> places = std::span(entries_).subspan(first, associativity);
    Entry *coldest = &places.front();
    for (Entry &entry : places) {
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
    return entry.load * std::exp(-toSeconds(now - entry.updated) / coolingSeconds);
}

} // namespace Lovageloft
