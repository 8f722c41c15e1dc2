#include "decision/prefix_chain.h"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace Lovageloft
{

namespace
{

BlockHash combineHashes(BlockHash previous, BlockHash digest)
{
    const std::array<BlockHash, 2> pair{previous, digest};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace

BlockHash prefixSeed(const PrefixScope &scope)
{
    // Each field is hashed separately: if they were concatenated, "a" + "bc" and "ab" + "c" would share cache entries.
    BlockHash seed = 0;
    for (const std::string_view field : {scope.cacheSalt, scope.model, scope.weightsVersion}) {
        seed = combineHashes(seed, XXH3_64bits(field.data(), field.size()));
    }
    return seed;
}

void digestBlocks(std::string_view prompt, std::vector<BlockHash> &digests)
{
    const std::size_t count = std::min(prompt.size() / prefixBlockBytes, maxPrefixChainBlocks);
    digests.resize(count);
    const char *block = prompt.data();
    for (BlockHash &digest : digests) {
        digest = XXH3_64bits(block, prefixBlockBytes);
        block += prefixBlockBytes;
    }
}

void chainBlocks(BlockHash seed, std::span<const BlockHash> digests, std::vector<BlockHash> &chain)
{
    chain.resize(digests.size());
    BlockHash previous = seed;
    for (std::size_t i = 0; i < digests.size(); ++i) {
        previous = combineHashes(previous, digests[i]);
        chain[i] = previous;
    }
}

} // namespace Lovageloft
