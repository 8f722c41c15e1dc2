#include "decision/prompt_parts.h"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace Lovageloft
{

void digestParts(std::span<const PromptPart> parts, std::vector<BlockHash> &digests)
{
    digests.clear();
    std::uint64_t tokens = 0;
    for (const PromptPart &part : parts) {
        tokens += part.tokens;
        while (digests.size() < maxPrefixChainBlocks && (digests.size() + 1) * partBlockTokens <= tokens) {
            const std::array<std::uint64_t, 2> block{part.hash, digests.size()};
            digests.push_back(XXH3_64bits(block.data(), sizeof block));
        }
    }
}

std::vector<std::uint32_t> partEnds(std::span<const PromptPart> parts)
{
    std::vector<std::uint32_t> ends;
    std::uint64_t tokens = 0;
    std::uint64_t lastEnd = 0;
    for (const PromptPart &part : parts) {
        tokens += part.tokens;
        const std::uint64_t end = std::min<std::uint64_t>(tokens / partBlockTokens, maxPrefixChainBlocks);
        if (end > lastEnd) {
            ends.push_back(static_cast<std::uint32_t>(end));
        }
        lastEnd = end;
    }
    return ends;
}

} // namespace Lovageloft
