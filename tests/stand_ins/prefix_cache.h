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

/// A change of an engine's cache.
struct CacheEvent
{
    std::int64_t sequence = 0;
    bool isStored = true; ///< False: evicted.
    std::uint64_t block = 0;
    std::uint64_t parent = 0; ///< Hash of the preceding block; for the first block, that of the salt.
};

/// A model of an engine's prefix cache: complete blocks of prompt text, identified by a chain of XXH3 hashes that
/// starts with the salt. The least recently used blocks are evicted. Not thread-safe.
class PrefixCache
{
public:
    static constexpr std::size_t blockBytes = 4096;

    explicit PrefixCache(std::size_t capacityBlocks);

    /// Looks up a prompt, then stores all its complete blocks. Returns the bytes of its leading blocks that were cached.
    std::size_t use(std::string_view salt, std::string_view prompt);

    /// Removes all blocks without events, as a load of new weights does.
    void clear();

    /// From now on this fraction (0 to 1) of the events is lost; lost events use up their sequence numbers.
    void setLostShare(double share);

    /// The kept events after a sequence number.
    std::vector<CacheEvent> eventsAfter(std::int64_t sequence) const;

    std::int64_t firstKeptSequence() const;
    std::int64_t lastSequence() const;
    std::size_t size() const;
    std::size_t capacity() const;

    /// The hash with which a chain starts.
    static std::uint64_t rootHash(std::string_view salt);

    /// The hash of a block of text that follows `parent`.
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
    std::list<Block> blocks_; ///< The most recently used first.
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> index_;
    std::deque<CacheEvent> events_;
    std::int64_t lastSequence_ = 0;
    double lostShare_ = 0;
    Random random_{1};
};

} // namespace Lovageloft::StandIns
