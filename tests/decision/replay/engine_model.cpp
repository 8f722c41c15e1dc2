#include "replay/engine_model.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr double startSeconds = 0.005;

} // namespace

void EngineModel::submit(const EngineJob &job)
{
    queue_.push_back(job);
    // Counted before the job's own blocks become pending, so that they don't count as cached.
    queue_.back().cachedTokens = heldTokens(job.chain, job.promptTokens, true);
    for (const BlockHash block : job.chain) {
        ++pending_[block];
    }
}

std::optional<double> EngineModel::startNext(double now)
{
    if (!isUp || current_ || queue_.empty() || running_ >= batchLimit) {
        return std::nullopt;
    }
    current_ = queue_.front();
    queue_.pop_front();
    current_->cachedTokens = heldTokens(current_->chain, current_->promptTokens, false);
    const double taken = prefillSeconds(current_->promptTokens - current_->cachedTokens);
    busySeconds += taken;
    currentStart_ = now;
    currentDone_ = now + taken;
    return currentDone_;
}

EngineJob EngineModel::finishPrefill()
{
    const EngineJob job = *current_;
    computedTokens_ += job.promptTokens - job.cachedTokens;
    current_.reset();
    ++running_;
    for (const BlockHash block : job.chain) {
        if (--pending_[block] == 0) {
            pending_.erase(block);
        }
    }
    store(job.chain);
    return job;
}

double EngineModel::answerSeconds(const EngineJob &job) const
{
    return job.answerTokens * generateSecondsPerToken / speed;
}

void EngineModel::finishAnswer()
{
    --running_;
}

std::vector<EngineJob> EngineModel::restart()
{
    std::vector<EngineJob> jobs(queue_.begin(), queue_.end());
    if (current_) {
        jobs.push_back(*current_);
    }
    queue_.clear();
    current_.reset();
    running_ = 0;
    recent_.clear();
    cache_.clear();
    pending_.clear();
    events.clear();
    nextSequence = 0;
    ++incarnation;
    return jobs;
}

LoadReport EngineModel::loadReport(TimePoint measuredAt) const
{
    const double done = currentTokens(toSeconds(measuredAt.time_since_epoch()));
    double tokens = current_ ? current_->promptTokens - current_->cachedTokens - done : 0;
    for (const EngineJob &job : queue_) {
        tokens += job.promptTokens - job.cachedTokens;
    }
    return {.measuredAt = measuredAt,
            .incarnation = incarnation,
            .queuedPrefillTokens = tokens,
            .computedPrefillTokens = computedTokens_ + done,
            .runningRequests = running_,
            .waitingRequests = static_cast<std::uint32_t>(queue_.size())};
}

double EngineModel::exactFirstToken(std::span<const BlockHash> chain, std::uint32_t promptTokens, double now) const
{
    double wait = current_ ? currentDone_ - now : 0;
    for (const EngineJob &job : queue_) {
        wait += prefillSeconds(job.promptTokens - job.cachedTokens);
    }
    if (running_ + queue_.size() >= batchLimit) {
        wait += static_cast<double>(running_ + queue_.size() + 1 - batchLimit) * 3 / batchLimit / speed;
    }
    return wait + prefillSeconds(promptTokens - exactCachedTokens(chain, promptTokens));
}

std::uint32_t EngineModel::exactCachedTokens(std::span<const BlockHash> chain, std::uint32_t promptTokens) const
{
    return heldTokens(chain, promptTokens, true);
}

std::uint32_t EngineModel::heldTokens(std::span<const BlockHash> chain, std::uint32_t promptTokens, bool withPending) const
{
    std::uint32_t held = 0;
    for (const BlockHash block : chain) {
        if (!cache_.contains(block) && !(withPending && pending_.contains(block))) {
            break;
        }
        held += prefixBlockTokens;
    }
    return std::min(held, promptTokens);
}

double EngineModel::currentTokens(double now) const
{
    if (!current_) {
        return 0;
    }
    const double fraction = (now - currentStart_) / (currentDone_ - currentStart_);
    return std::min(1.0, fraction) * (current_->promptTokens - current_->cachedTokens);
}

double EngineModel::prefillSeconds(double tokens) const
{
    const double generating = 1 + 0.5 * running_ / batchLimit;
    return (startSeconds + tokens * prefillSecondsPerToken * generating) / speed;
}

void EngineModel::store(std::span<const BlockHash> chain)
{
    // From the end, so that the shared beginning is the most recently used and evicted last.
    for (auto next = chain.rbegin(); next != chain.rend(); ++next) {
        const BlockHash block = *next;
        const auto known = cache_.find(block);
        if (known != cache_.end()) {
            recent_.splice(recent_.begin(), recent_, known->second);
            continue;
        }
        recent_.push_front(block);
        cache_[block] = recent_.begin();
        events.push_back({block, CacheEvent::Kind::Stored});
    }
    while (cache_.size() > cacheBlocks) {
        events.push_back({recent_.back(), CacheEvent::Kind::Evicted});
        cache_.erase(recent_.back());
        recent_.pop_back();
    }
}

} // namespace Lovageloft
