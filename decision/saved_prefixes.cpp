#include "decision/saved_prefixes.h"

namespace Lovageloft
{

void SavedPrefixes::setCapacity(std::string_view store, double tokens)
{
    stores_.try_emplace(std::string(store)).first->second.setCapacity(tokens);
}

void SavedPrefixes::onSaved(std::string_view store, std::span<const BlockHash> blocks, double tokens)
{
    const auto found = stores_.find(store);
    if (found == stores_.end()) {
        return;
    }
    evictedScratch_.clear();
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        const bool isLast = i + 1 == blocks.size();
        found->second.onSent(blocks.subspan(i, 1), isLast ? tokens : 0, evictedScratch_);
    }
}

void SavedPrefixes::clear(std::string_view store)
{
    const auto found = stores_.find(store);
    if (found != stores_.end()) {
        found->second.clear();
    }
}

bool SavedPrefixes::holds(std::string_view store, BlockHash block) const
{
    const auto found = stores_.find(store);
    return found != stores_.end() && found->second.holds(block);
}

} // namespace Lovageloft
