#include "tests/stand_ins/prefix_cache.h"

#include <algorithm>

#include <boost/random/uniform_01.hpp>
#include <xxhash.h>

namespace Lovageloft::StandIns
{

namespace
{

/// Number of kept events; a reader that is further behind misses some.
constexpr std::size_t keptEvents = 65'536;

} // namespace

PrefixCache::PrefixCache(std::size_t capacityBlocks)
    : capacity_(capacityBlocks)
{
}

std::size_t PrefixCache::use(std::string_view salt, std::string_view prompt)
{
    std::size_t cachedBytes = 0;
    bool isCached = true;
    std::uint64_t parent = rootHash(salt);
    while (prompt.size() >= blockBytes && capacity_ > 0) {
        const std::uint64_t hash = blockHash(parent, prompt.substr(0, blockBytes));
        prompt.remove_prefix(blockBytes);
        const auto known = index_.find(hash);
        isCached = isCached && known != index_.end();
        cachedBytes += isCached ? blockBytes : 0;
        if (known != index_.end()) {
            blocks_.splice(blocks_.begin(), blocks_, known->second);
        } else {
            store(hash, parent);
        }
        parent = hash;
    }
    return cachedBytes;
}

void PrefixCache::clear()
{
    blocks_.clear();
    index_.clear();
}

void PrefixCache::setLostShare(double share)
{
    lostShare_ = share;
}

std::vector<CacheEvent> PrefixCache::eventsAfter(std::int64_t sequence) const
{
    const auto first =
        std::upper_bound(events_.begin(), events_.end(), sequence, [](std::int64_t number, const CacheEvent &event) { return number < event.sequence; });
    return {first, events_.end()};
}

std::int64_t PrefixCache::firstKeptSequence() const
{
    return events_.empty() ? lastSequence_ + 1 : events_.front().sequence;
}

std::int64_t PrefixCache::lastSequence() const
{
    return lastSequence_;
}

std::size_t PrefixCache::size() const
{
    return blocks_.size();
}

std::size_t PrefixCache::capacity() const
{
    return capacity_;
}

std::uint64_t PrefixCache::rootHash(std::string_view salt)
{
    return XXH3_64bits(salt.data(), salt.size());
}

std::uint64_t PrefixCache::blockHash(std::uint64_t parent, std::string_view block)
{
    return XXH3_64bits_withSeed(block.data(), block.size(), parent);
}

void PrefixCache::store(std::uint64_t hash, std::uint64_t parent)
{
    if (blocks_.size() == capacity_) {
        recordEvent(false, blocks_.back());
        index_.erase(blocks_.back().hash);
        blocks_.pop_back();
    }
    blocks_.push_front({hash, parent});
    index_[hash] = blocks_.begin();
    recordEvent(true, blocks_.front());
}

void PrefixCache::recordEvent(bool isStored, const Block &block)
{
    ++lastSequence_;
    if (boost::random::uniform_01<double>()(random_) < lostShare_) {
        return;
    }
    events_.push_back({lastSequence_, isStored, block.hash, block.parent});
    if (events_.size() > keptEvents) {
        events_.pop_front();
    }
}

} // namespace Lovageloft::StandIns
