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
    std::uint32_t cachedTokens = 0; ///< Estimated on submission and set when the prefill starts.
};

/// Minimal model of an engine for measuring placement. Prompts are computed one after another, except for the prefix that is in an
/// LRU cache of blocks; answers are generated in parallel. Times are in seconds.
class EngineModel
{
public:
    static constexpr double prefillSecondsPerToken = 0.00004;
    static constexpr double generateSecondsPerToken = 0.02;
    static constexpr std::uint32_t batchLimit = 64;
    static constexpr std::size_t cacheBlocks = 600;

    /// Queues a request.
    void submit(const EngineJob &job);

    /// Starts the next prefill if possible; returns the time at which it will be done.
    std::optional<double> startNext(double now);

    /// Ends the running prefill and returns its job, which now has its first token.
    EngineJob finishPrefill();

    /// Returns the seconds from the first token of a job to the end of its answer.
    double answerSeconds(const EngineJob &job) const;

    /// Ends the generation of one answer.
    void finishAnswer();

    /// Clears the queue and the cache, as a crash or new weights do; returns the queued jobs and the one in prefill, without those generating.
    std::vector<EngineJob> restart();

    LoadReport loadReport(TimePoint measuredAt) const;

    /// Returns the exact seconds to the first token of a prompt sent now.
    double exactFirstToken(std::span<const BlockHash> chain, std::uint32_t promptTokens, double now) const;
    std::uint32_t exactCachedTokens(std::span<const BlockHash> chain, std::uint32_t promptTokens) const;

    double speed = 1; ///< Factor; 1 is normal.
    bool isUp = true;
    bool isLeaving = false; ///< True while it gets no new requests before loading new weights.
    std::uint32_t version = 1;
    std::uint64_t incarnation = 1;
    std::vector<CacheEvent> events; ///< Not yet published.
    std::uint64_t nextSequence = 0; ///< Sequence number of the first of `events`.
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
    double computedTokens_ = 1; // Not 0 at the start, which would mean "not reported" in a LoadReport.
    std::uint32_t running_ = 0;
    std::list<BlockHash> recent_; // Most recently used first.
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> cache_;
    std::unordered_map<BlockHash, std::uint32_t> pending_; // Blocks that queued and running jobs will store, with the number of jobs.
};

} // namespace Lovageloft
