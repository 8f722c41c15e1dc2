#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/random.h"
#include "decision/admission_queue.h"
#include "decision/engine_window.h"
#include "decision/id_table.h"
#include "decision/placement.h"
#include "decision/retry_budget.h"

namespace Lovageloft
{

/// An engine as the configuration and its reports describe it.
struct SchedulerEngine
{
    std::string name;
    std::string model;
    std::string weightsVersion; ///< What it runs now.
    std::uint64_t incarnation = 0; ///< 0 while not known.
    double prefillTokensPerSecond = 10'000; ///< Speed at which it computes prompts.
    std::uint32_t batchLimit = 64; ///< Requests it generates for at once.
    double cacheTokens = 0; ///< Tokens that its memory holds; 0 while not known.
    bool isServing = true;
    bool isRemote = false; ///< In another data centre than this host.
    std::optional<TimePoint> firstTokenDeadline = std::nullopt; ///< No request that may begin later is sent to it; not set while it serves without end.
};

/// A request that needs an engine.
struct SchedulerRequest
{
    RequestId id{};
    std::string team;
    std::string keyId;
    std::string cacheSalt; ///< The team's; keeps its cache entries from all others.
    std::string model;
    Priority priority = Priority::Normal;
    std::vector<BlockHash> blockDigests; ///< From digestBlocks, or from digestParts of what other prompts may share.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::size_t bytes = 0; ///< That go to the engine and back.
    TimePoint deadline;
    std::vector<std::string> failedEngines; ///< Not empty for a retry.
    bool reachedTarget = true; ///< A retry whose earlier targets never got it adds no load and takes nothing from the budget.
    bool isResume = false; ///< The caller has part of the answer already.
    std::uint64_t fingerprint = 0; ///< Digest of key and body, by which a caller that comes back is known.
    bool isRetry = false; ///< The caller says that it was refused before.
};

/// An engine was found; `onEnded` must follow in any case.
struct SchedulerAssignment
{
    RequestId id{};
    std::string engine;
    std::uint32_t expectedCachedTokens = 0;
    double expectedFirstTokenSeconds = 0; ///< Seconds from now.
    std::uint32_t workTokens = 0; ///< What the engine has to compute, in prompt tokens of a short prompt.
    std::uint32_t newTokens = 0; ///< That it adds to the engine's memory.
    std::vector<BlockHash> blocks; ///< The prompt's chain for this engine's weights.
    std::string holder; ///< Another engine that is believed to hold more of the prompt; empty if there is none.
};

/// The request is given up; it reached no engine in this attempt.
struct SchedulerRefusal
{
    RequestId id{};
    Reason reason;
    Duration retryAfter{};
};

using SchedulerOutcome = std::variant<SchedulerAssignment, SchedulerRefusal>;

/// How an assigned request ended.
enum class DispatchResult : std::uint8_t
{
    Finished,
    Failed, ///< The engine broke, stalled or refused.
    Declined, ///< The engine did not run it as it has too much to do; it works well otherwise.
    Cancelled, ///< The caller went away; says nothing about the engine.
};

/// All decisions about model requests on one host: admits or refuses, keeps the order of service, opens and closes windows, and
/// places. Made for a fleet that is saturated or losing engines, where each of these parts alone would undo another: a queue
/// that is fair is worth nothing if engines queue behind it, and a retry that skips the budget doubles a storm.
/// Not thread-safe; opens nothing and reads no clock.
class RequestScheduler
{
public:
    explicit RequestScheduler(const QueueLimits &limits = {}, const PlacementPolicy &policy = {});

    /// Replaces the list of engines. One with another incarnation has crashed: its window begins anew.
    void setEngines(std::span<const SchedulerEngine> engines);

    /// A team's part of the engines relative to others'.
    void setTeamWeight(std::string_view team, double weight);

    void setHostCount(std::size_t count);

    /// What retries of requests for any one model may add to its load.
    void setRetryLimits(const RetryBudget::Limits &limits);

    /// Queues or refuses a request.
    std::optional<SchedulerRefusal> submit(SchedulerRequest request, TimePoint now);

    /// The caller of a waiting request went away.
    void cancel(RequestId id, TimePoint now);

    /// Takes waiting requests of a withdrawn key out; each is refused with KeyWithdrawn.
    std::vector<SchedulerOutcome> withdrawKey(std::string_view team, std::string_view keyId, TimePoint now);

    /// Gives up what waited too long and assigns what can go now. To be called after every change, and at `nextDeadline`.
    std::vector<SchedulerOutcome> decide(TimePoint now, Random &random);

    /// When `decide` has something to do though nothing happened.
    std::optional<TimePoint> nextDeadline() const;

    /// Refuses new requests; what waits is still served.
    void drain();

    /// Another host sent a request to an engine.
    void onDispatchedByPeer(std::string_view engine, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now);

    void onFirstToken(RequestId id, std::optional<std::uint32_t> cachedTokens, TimePoint now);
    void onEnded(RequestId id, DispatchResult end, TimePoint now);

    /// Whether a request that is at an engine could be sent to another one now: one has room, and the retry budget allows it.
    bool canRetryElsewhere(RequestId id, TimePoint now);

    /// The engine has been silent for too long about a request that stays there: it has more than it can do.
    void onStalled(RequestId id, TimePoint now);

    void onLoadReport(std::string_view engine, const LoadReport &report, TimePoint now);
    void onCacheEvents(std::string_view engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events);
    void onCacheResync(std::string_view engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks);

    std::size_t waiting() const;
    std::size_t inFlight() const;

    /// Requests that this host may have in an engine; 0 for one that is not listed.
    std::size_t windowOf(std::string_view engine) const;

    /// Whether the engine is set aside as slow or failing.
    bool isEjected(std::string_view engine) const;

private:
    /// What is known of an engine besides what the placement keeps.
    struct Engine
    {
        EngineWindow window;
        ModelId model{};
        std::uint64_t incarnation = 0;
        std::uint64_t serial = 0; ///< Tells it from an earlier engine that had the same index.
        bool isServing = false;
    };

    struct Version
    {
        ModelVersionId id = 0;
        std::string weights;
    };

    struct InFlight
    {
        DispatchId dispatch = 0;
        EngineIndex engine = 0;
        std::uint64_t serial = 0;
        EngineWindow::Dispatch window;
    };

    /// What was found for the request that the queue would give out next.
    struct Choice
    {
        std::optional<PlacementDecision> engine;
        Reason reason;
    };

    RetryBudget &budgetOf(ModelId model);
    std::optional<SchedulerRefusal> checkRetry(const SchedulerRequest &request, TimePoint now);
    bool choose(const QueuedRequest &queued, TimePoint now, Random &random, Choice &choice);
    void scaleQueues(const std::map<EngineIndex, Engine> &after);
    std::span<const VersionedChain> chainsOf(const SchedulerRequest &request);
    PlacementRequest placementRequest(const SchedulerRequest &request);
    SchedulerOutcome assign(const QueuedRequest &queued, TimePoint now, const Choice &choice);
    std::string findHolder(std::span<const BlockHash> blocks, const PlacementDecision &decision) const;
    SchedulerRefusal refuse(RequestId id, Reason reason, Duration retryAfter);
    Engine *engineOf(const InFlight &request);

    const std::uint32_t blockTokens_;
    AdmissionQueue queue_;
    Placement placement_;
    RetryBudget::Limits retryLimits_;
    std::unordered_map<ModelId, RetryBudget> retries_;
    IdTable<TeamId> teams_;
    IdTable<KeyId> keys_;
    IdTable<ModelId> models_;
    IdTable<ModelVersionId> modelVersions_;
    std::map<EngineIndex, Engine> engines_;
    std::map<ModelId, std::vector<Version>> versions_;
    std::unordered_map<RequestId, SchedulerRequest> requests_; ///< Those that wait.
    std::unordered_map<RequestId, InFlight> inFlight_;
    std::vector<std::vector<BlockHash>> blockScratch_;
    std::vector<VersionedChain> chainScratch_;
    std::vector<EngineIndex> failedScratch_;
    std::uint64_t lastSerial_ = 0;
};

} // namespace Lovageloft
