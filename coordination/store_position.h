#pragma once

#include <cstdint>

/// A position orders writes across restores of the store. A store that is restored from an older backup assigns the same revisions again;
/// its era, which rises with each restore, distinguishes them. A driver that knows the era puts it in the bits above the store's own
/// revision, so that all revisions of this system keep rising: in comparisons, in datagrams between hosts and as fencing tokens. Without
/// eras a position equals the store's revision.
namespace Lovageloft
{

inline constexpr int revisionBits = 40;
inline constexpr std::int64_t revisionsPerEra = std::int64_t{1} << revisionBits;
inline constexpr std::int64_t maxEras = std::int64_t{1} << (62 - revisionBits);

/// Combines an era below maxEras and a revision below revisionsPerEra, which are not checked. Zero means no revision and stays zero.
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
