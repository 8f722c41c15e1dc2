#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// A part of a prompt that other requests may share, identified by a hash from the caller instead of by its text.
struct PromptPart
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

/// Tokens per block of prompt parts. Small enough that two short parts of some hundred tokens, as shared by classification requests,
/// fill a whole block. With blocks of 1,024 tokens engines recomputed such parts for each request.
inline constexpr std::uint32_t partBlockTokens = 256;

/// Replaces `digests` by the digests of the full blocks in `parts`, as digestBlocks does for a text: up to maxPrefixChainBlocks, and
/// without the tokens after the last full block. A digest consists of the index of the block and the hash of the part in which the
/// block ends, so that a block across the border of two parts is shared only by prompts with the later part at this place. An
/// earlier part that fills no block of its own is not distinguished.
///
/// Pass only parts that other prompts may share: placement hashes the last blocks of a prompt, and with a part unique to one prompt
/// it would choose an arbitrary engine.
void digestParts(std::span<const PromptPart> parts, std::vector<BlockHash> &digests);

/// Returns the numbers of full blocks up to the end of each part, ascending and without zero and repetitions, at most maxPrefixChainBlocks.
/// Prompts share whole parts, so the blocks at these ends tell which parts an engine holds.
std::vector<std::uint32_t> partEnds(std::span<const PromptPart> parts);

} // namespace Lovageloft
