#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/random.h"

namespace Lovageloft::StandIns
{

/// One change of an engine's cache.
struct CacheEvent
{
    std::int64_t sequence = 0;
    bool isStored = true; ///< False: evicted.
    std::uint64_t block = 0;
    std::uint64_t parent = 0; ///< The block before it, or the hash of the salt for the first block.
};

/// A model of an engine's prefix cache: whole blocks of prompt text, named by a chain of XXH3 hashes that
/// starts from the salt, with eviction of the least recently used. Not thread-safe.
class PrefixCache
{
public:
    static constexpr std::size_t blockBytes = 4096;

    explicit PrefixCache(std::size_t capacityBlocks);

    /// Looks a prompt up and then stores all its whole blocks. Returns the bytes of its leading blocks that were cached.
    std::size_t use(std::string_view salt, std::string_view prompt);

    /// Forgets all blocks without events, as new weights do.
    void clear();

    /// From now on this share (0 to 1) of the events gets its number but is lost.
    void setLostShare(double share);

    /// Events after a sequence number that are still kept.
    std::vector<CacheEvent> eventsAfter(std::int64_t sequence) const;

    std::int64_t firstKeptSequence() const;
    std::int64_t lastSequence() const;
    std::size_t size() const;
    std::size_t capacity() const;

    /// The hash that a chain starts from.
    static std::uint64_t rootHash(std::string_view salt);

    /// The hash of a block of text after `parent`.
    static std::uint64_t blockHash(std::uint64_t parent, std::string_view block);

private:
    struct Block
    {
        std::uint64_t hash = 0;
        std::uint64_t parent = 0;
    };

    void store(std::uint64_t hash, std::uint64_t parent);
    void recordEvent(bool isStored, const Block &block);

    std::size_t capacity_;
    std::list<Block> blocks_; // The most recently used first.
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> index_;
    std::deque<CacheEvent> events_;
    std::int64_t lastSequence_ = 0;
    double lostShare_ = 0;
    Random random_{1};
};

} // namespace Lovageloft::StandIns
