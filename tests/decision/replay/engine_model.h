#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "decision/cache_view.h"
#include "decision/engine_load.h"

namespace Lovageloft
{

/// A request inside an engine.
struct EngineJob
{
    std::uint32_t request = 0;
    std::uint32_t attempt = 0;
    std::span<const BlockHash> chain;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint32_t cachedTokens = 0; ///< Set when its prefill starts.
};

/// The least of an engine that placing can be measured by: prompts are computed one after the other but for the prefix in a
/// cache of least recently used blocks, then answers are generated side by side. Times in seconds.
class EngineModel
{
public:
    static constexpr double prefillSecondsPerToken = 0.00004;
    static constexpr double generateSecondsPerToken = 0.02;
    static constexpr std::uint32_t batchLimit = 64;
    static constexpr std::size_t cacheBlocks = 600;

    void submit(const EngineJob &job);

    /// Starts the next prefill if it can; returns when that will be done.
    std::optional<double> startNext(double now);

    /// Ends the prefill that runs; its first token is out.
    EngineJob finishPrefill();

    double answerSeconds(const EngineJob &job) const;
    void finishAnswer();

    /// Loses queue and cache, as in a crash or for new weights; returns the jobs that were inside, without those that generate.
    std::vector<EngineJob> restart();

    LoadReport loadReport(TimePoint measuredAt) const;

    /// Exact seconds to the first token of a prompt sent now.
    double exactFirstToken(std::span<const BlockHash> chain, std::uint32_t promptTokens, double now) const;
    std::uint32_t exactCachedTokens(std::span<const BlockHash> chain, std::uint32_t promptTokens) const;

    double speed = 1;
    bool isUp = true;
    bool isLeaving = false; ///< Gets no new work.
    std::uint32_t version = 1;
    std::uint64_t incarnation = 1;
    std::vector<CacheEvent> events; ///< Not yet published.
    std::uint64_t nextSequence = 0; ///< Of the first of `events`.
    double busySeconds = 0;

private:
    std::uint32_t heldTokens(std::span<const BlockHash> chain, std::uint32_t promptTokens, bool withPending) const;
    double prefillSeconds(double tokens) const;
    double currentTokens(double now) const;
    void store(std::span<const BlockHash> chain);

    std::deque<EngineJob> queue_;
    std::optional<EngineJob> current_;
    double currentStart_ = 0;
    double currentDone_ = 0;
    double computedTokens_ = 1;
    std::uint32_t running_ = 0;
    std::list<BlockHash> recent_; // The least recently used block is last.
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> cache_;
    std::unordered_map<BlockHash, std::uint32_t> pending_; // Blocks that jobs inside will have stored.
};

} // namespace Lovageloft
