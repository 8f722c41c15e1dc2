#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "decision/prefix_chain.h"

namespace Lovageloft
{

/// A part of a prompt that other requests may share, named by the caller instead of being read from the text.
struct PromptPart
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

/// Tokens in one block of named parts. Fine enough that two short parts of some hundred tokens, which a classification shares, make a
/// whole block; with blocks of 1,024 tokens engines computed them anew for each request.
inline constexpr std::uint32_t partBlockTokens = 256;

/// Replaces `digests` by those of the whole blocks that the parts make up, as digestBlocks does from a text. A block that lies on
/// the border of two parts takes the later one's name: it is shared only by prompts that share both. Give it only what other
/// prompts may share: the place where a prompt belongs is found by its last blocks, and by a part of its own it would be any.
void digestParts(std::span<const PromptPart> parts, std::vector<BlockHash> &digests);

} // namespace Lovageloft
