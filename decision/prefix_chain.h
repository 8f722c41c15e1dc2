#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// The identity of a prompt's prefixes: a chain of 64-bit hashes over blocks of its text. Two prompts have the same hash
/// at a block only if all text up to its end is the same and both stand under the same scope.
namespace Lovageloft
{

using BlockHash = std::uint64_t;

/// Bytes of text in one block. About a thousand tokens: engines cache in pieces of that size, so finer blocks would say
/// nothing more about a cache, and coarser ones would miss what is cached.
inline constexpr std::size_t prefixBlockBytes = 4096;

/// Tokens that one block counts for.
inline constexpr std::uint32_t prefixBlockTokens = 1024;

/// Longest chain in blocks (1 MB of text). Bounds the time that one huge prompt takes from the deciding thread.
inline constexpr std::size_t maxPrefixChainBlocks = 256;

/// Whose cache entries a chain can match. Another team has another salt and other weights another version, so that
/// their chains differ from the first block on.
struct PrefixScope
{
    std::string_view cacheSalt; ///< The team's secret salt; never its key.
    std::string_view model;
    std::string_view weightsVersion;
};

/// The seed of all chains in a scope.
BlockHash prefixSeed(const PrefixScope &scope);

/// Replaces `digests` by the hashes of the whole blocks of `prompt`, up to maxPrefixChainBlocks. A last piece shorter than a
/// block is left out, as engines cache whole blocks only. The digests belong to no scope: while two versions of
/// the weights are in service the text is read once and chained twice.
void digestBlocks(std::string_view prompt, std::vector<BlockHash> &digests);

/// Replaces `chain` by the chain over `digests` that starts at `seed`.
void chainBlocks(BlockHash seed, std::span<const BlockHash> digests, std::vector<BlockHash> &chain);

} // namespace Lovageloft
