#pragma once

#include <cstdint>

/// A store that comes back from an older copy gives revisions out a second time; its era, which rises each time, tells them apart. A driver that
/// can tell eras puts them above the store's own revisions, so that all revisions of this system go on rising, in comparisons, in datagrams
/// between hosts and as fencing tokens. Without eras a position is the store's revision.
namespace Lovageloft
{

inline constexpr int revisionBits = 40;
inline constexpr std::int64_t revisionsPerEra = std::int64_t{1} << revisionBits;
inline constexpr std::int64_t maxEras = std::int64_t{1} << (62 - revisionBits);

/// Zero, which stands for no revision, stays zero.
constexpr std::int64_t positionOf(std::int64_t era, std::int64_t revision)
{
    return revision == 0 ? 0 : era * revisionsPerEra + revision;
}

constexpr std::int64_t eraOf(std::int64_t position)
{
    return position / revisionsPerEra;
}

constexpr std::int64_t revisionOf(std::int64_t position)
{
    return position % revisionsPerEra;
}

} // namespace Lovageloft
