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

/// Replaces `digests` by those of the whole blocks that the parts make up, as digestBlocks does from a text. A block that lies on
/// the border of two parts takes the later one's name: it is shared only by prompts that share both.
void digestParts(std::span<const PromptPart> parts, std::vector<BlockHash> &digests);

} // namespace Lovageloft
