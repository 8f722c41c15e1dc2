#include "decision/eviction_estimator.h"

namespace Lovageloft
{

void EvictionEstimator::setCapacity(double capacityTokens)
{
    capacity_ = capacityTokens;
}

void EvictionEstimator::onSent(std::span<const BlockHash> chain, double newTokens, std::vector<BlockHash> &evicted)
{
    if (capacity_ <= 0) {
        return;
    }
    sentTokens_ += newTokens;
    if (!chain.empty()) {
        const auto found = prefixByLastBlock_.find(chain.back());
        if (found != prefixByLastBlock_.end()) {
            prefixes_.splice(prefixes_.end(), prefixes_, found->second);
        } else {
            prefixes_.push_back({chain.back(), {chain.begin(), chain.end()}, 0});
            prefixByLastBlock_[chain.back()] = std::prev(prefixes_.end());
        }
        prefixes_.back().lastUseAt = sentTokens_;
    }
    while (!prefixes_.empty() && sentTokens_ - prefixes_.front().lastUseAt > capacity_) {
        const Prefix &oldest = prefixes_.front();
        evicted.insert(evicted.end(), oldest.chain.begin(), oldest.chain.end());
        prefixByLastBlock_.erase(oldest.lastBlock);
        prefixes_.pop_front();
    }
}

bool EvictionEstimator::holds(BlockHash lastBlock) const
{
    return prefixByLastBlock_.contains(lastBlock);
}

void EvictionEstimator::clear()
{
    prefixes_.clear();
    prefixByLastBlock_.clear();
}

} // namespace Lovageloft
