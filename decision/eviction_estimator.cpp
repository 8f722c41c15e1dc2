#include "decision/eviction_estimator.h"

namespace Lovageloft
{

void EvictionEstimator::setCapacity(double capacityTokens)
{
    capacity_ = capacityTokens;
}

void EvictionEstimator::onSent(std::span<const BlockHash> chain, double tokens, std::vector<BlockHash> &dropped)
{
    if (capacity_ <= 0) {
        return;
    }
    sent_ += tokens;
    if (!chain.empty()) {
        const auto known = byLast_.find(chain.back());
        if (known != byLast_.end()) {
            prefixes_.splice(prefixes_.end(), prefixes_, known->second);
        } else {
            prefixes_.push_back({chain.back(), {chain.begin(), chain.end()}, 0});
            byLast_[chain.back()] = std::prev(prefixes_.end());
        }
        prefixes_.back().sentAt = sent_;
    }
    while (!prefixes_.empty() && sent_ - prefixes_.front().sentAt > capacity_) {
        const Prefix &gone = prefixes_.front();
        dropped.insert(dropped.end(), gone.chain.begin(), gone.chain.end());
        byLast_.erase(gone.last);
        prefixes_.pop_front();
    }
}

void EvictionEstimator::clear()
{
    prefixes_.clear();
    byLast_.clear();
}

} // namespace Lovageloft
