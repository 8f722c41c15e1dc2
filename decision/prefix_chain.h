#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// Identifies the prefixes of a prompt by a chain of 64-bit hashes over the blocks of its text. Two prompts have the same hash at a
/// block only if their text up to the end of the block and their scope are the same.
namespace Lovageloft
{

using BlockHash = std::uint64_t;

/// Bytes of text in one block, about a thousand tokens. Engines that report cached blocks of text do so in units of that size: smaller
/// blocks would give no more information about a cache, and larger ones would miss cached prefixes. Prompts that come in parts have
/// smaller blocks, see partBlockTokens.
inline constexpr std::size_t prefixBlockBytes = 4096;

/// Tokens per block.
inline constexpr std::uint32_t prefixBlockTokens = 1024;

/// Maximum blocks of a chain (1 MB of text). Limits the time that one huge prompt takes on the decision thread.
inline constexpr std::size_t maxPrefixChainBlocks = 256;

/// The scope within which chains can match. Each team has its own salt, and new weights have their own version, so the chains of
/// different teams or versions differ from the first block on.
struct PrefixScope
{
    std::string_view cacheSalt; ///< The team's secret salt; never its API key.
    std::string_view model;
    std::string_view weightsVersion;
};

/// Returns the seed of all chains in a scope.
BlockHash prefixSeed(const PrefixScope &scope);

/// Replaces `digests` with the hashes of the whole blocks of `prompt`, at most maxPrefixChainBlocks. An incomplete last block is
/// omitted, as engines cache whole blocks only. The digests are independent of the scope: while two versions of the weights are
/// in service, the text is hashed once and chained twice.
void digestBlocks(std::string_view prompt, std::vector<BlockHash> &digests);

/// Replaces `chain` with the chain over `digests` that starts at `seed`.
void chainBlocks(BlockHash seed, std::span<const BlockHash> digests, std::vector<BlockHash> &chain);

} // namespace Lovageloft
