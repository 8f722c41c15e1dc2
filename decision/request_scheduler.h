#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/decaying_count.h"
#include "core/random.h"
#include "decision/admission_queue.h"
#include "decision/engine_window.h"
#include "decision/id_table.h"
#include "decision/placement.h"
#include "decision/retry_budget.h"
#include "decision/send_permits.h"

namespace Lovageloft
{

/// An engine as described by the configuration and by its own reports.
struct SchedulerEngine
{
    std::string name;
    std::string target = {}; ///< Id of the target that runs it; permits are for targets.
    std::string model;
    std::string pool = {}; ///< It takes only requests of the same pool.
    std::string weightsVersion = {}; ///< Version of the weights that it runs now.
    std::string softwareVersion = {}; ///< Empty if unknown.
    std::uint64_t incarnation = 0; ///< 0 if unknown.
    double prefillTokensPerSecond = 10'000; ///< Speed at which it computes prompt tokens.
    std::uint32_t batchLimit = 64; ///< Requests for which it generates concurrently.
    double cacheTokens = 0; ///< Capacity of its KV cache in tokens; 0 if unknown.
    bool isServing = true;
    std::optional<TimePoint> restUntil = std::nullopt; ///< It has asked this host for rest until then, and serves afterwards.
    bool isRemote = false; ///< In another data centre than this host.
    bool isAdaptive = false; ///< Adapts to the engines of the same model and pool from the start, not only once one has stated its pace.
    /// No request whose first token may come later is sent to it; not set if there is no such limit.
    std::optional<TimePoint> firstTokenDeadline = std::nullopt;
};

/// A model request to be scheduled.
struct SchedulerRequest
{
    RequestId id{};
    std::string team;
    std::string keyId;
    std::string cacheSalt; ///< Salt of the team; separates its cache entries from those of other teams.
    std::string model;
    std::string pool = {}; ///< Goes only to engines of the same pool; empty for the engines that serve all requests.
    /// Goes only to engines of this software version, as these can go on with the stream; not set if any can take the request.
    std::optional<std::string> softwareVersion = std::nullopt;
    Priority priority = Priority::Normal;
    std::vector<BlockHash> blockDigests; ///< From digestBlocks, or from digestParts for the parts that other prompts may share.
    std::vector<std::uint32_t> partEnds; ///< From the function of that name, for digests of parts; empty for a text.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Maximum number of tokens that may be generated.
    std::size_t bytes = 0; ///< Size of the request and its answer.
    TimePoint deadline;
    std::vector<std::string> failedEngines; ///< Engines to exclude, in a retry by the router; empty for the first attempt.
    bool reachedTarget = true; ///< False if no earlier target received the request: such a retry adds no load and isn't counted against the retry budget.
    bool isResume = false; ///< Whether the caller has received part of the answer already; the retry is then not limited by the retry budget.
    std::uint64_t fingerprint = 0; ///< Digest of key and body that identifies a retry by the caller; 0 if unknown.
    bool isRetry = false; ///< Whether the caller states that the request was refused before.
};

/// The request is to be sent to an engine. The caller must call RequestScheduler::onEnded in any case.
struct SchedulerAssignment
{
    RequestId id{};
    std::string engine;
    std::uint32_t expectedCachedTokens = 0;
    double expectedFirstTokenSeconds = 0; ///< Seconds from now.
    std::uint32_t workTokens = 0; ///< Work that the request adds, as the length in tokens of an uncached short prompt that takes as long to compute.
    std::uint32_t newTokens = 0; ///< Tokens that the request adds to the engine's cache.
    std::vector<BlockHash> blocks = {}; ///< Block hashes of the prompt for this engine's weights.
    std::vector<BlockHash> announcedBlocks = {}; ///< Those of `blocks` that tell other hosts what the engine holds: the last of each part, or all of a text.
    bool holdsAllBlocks = false; ///< Whether the engine is expected to hold all of `blocks`.
    std::vector<std::string> holders = {}; ///< Other engines that are expected to hold more of the prompt in their caches.
    std::string alternative = {}; ///< The engine that was second in cost; empty if only one could take the request.
    double alternativeFirstTokenSeconds = 0; ///< Seconds from now, at `alternative`.
    bool usesPermit = false; ///< Whether the target was limited, so that the request goes there with a permit.
};

/// The request is refused. It reached no engine in this attempt.
struct SchedulerRefusal
{
    RequestId id{};
    Reason reason;
    Duration retryAfter{}; ///< Zero with KeyWithdrawn.
};

/// What a host has learned of the engines of one model and pool.
struct EngineGroupState
{
    std::string model;
    std::size_t engineCount = 0; ///< Serving engines.
    double boundary = 0; ///< Fraction of them that is for short prompts; 0 while they are not divided.
    TimeCoefficients times;
};

/// Permits that queued requests need for a target.
struct WantedPermits
{
    std::string target; ///< Id of the target.
    std::size_t count = 1;
};

using SchedulerOutcome = std::variant<SchedulerAssignment, SchedulerRefusal>;

/// How a dispatched request ended.
enum class DispatchResult : std::uint8_t
{
    Finished,
    Failed, ///< The engine failed, stalled or refused the request.
    Declined, ///< The engine did not run the request because it is overloaded; it is healthy otherwise.
    Cancelled, ///< The caller disconnected; says nothing about the engine.
};

/// Schedules the model requests of one host: admission, order of service, engine windows, placement and the budget for retries.
/// Designed for a fleet that is saturated or losing engines. One class combines these decisions because they depend on each other:
/// a fair queue has no effect if requests queue again in the engines, and retries outside the budget amplify a retry storm.
/// Not thread-safe; performs no I/O and reads no clock.
class RequestScheduler
{
public:
    explicit RequestScheduler(const QueueLimits &limits = {}, const PlacementPolicy &policy = {});

    /// Replaces the list of engines. The window of an engine whose incarnation changed is reset, since the engine has crashed.
    void setEngines(std::span<const SchedulerEngine> engines);

    /// Sets a team's weight relative to other teams; see AdmissionQueue::setWeight.
    void setTeamWeight(std::string_view team, double weight);

    /// An engine has stated its pace, relative to the usual 1. Turns on the adaptation to the engines that serve the same model and pool; see
    /// Placement::enableAdaptation.
    void onPaceStated(std::string_view engine, double pace, TimePoint now);

    /// What is known of the engines that this host adapts to, by model and pool.
    std::vector<EngineGroupState> engineGroups() const;

    /// What this host has observed of the group of an engine; nothing unless it adapts to the group, or if it was told less than a second ago.
    std::optional<TimeStatistics> takeStatistics(std::string_view engine, TimePoint now);

    /// Another host has told what it observed of an engine's group.
    void mergeStatistics(std::string_view engine, std::uint64_t host, const TimeStatistics &statistics, TimePoint now);

    /// Sets the number of hosts that send requests to the same engines.
    void setHostCount(std::size_t count);

    /// Sets the limits of the retry budget that each model has.
    void setRetryLimits(const RetryBudget::Limits &limits);

    /// Sets the permits without which no request is sent to a target that states a limit. `permits` must outlive this object; null for none.
    void setPermits(SendPermits *permits);

    /// Targets for which queued requests need a permit, since the last call. The best ones for the request that is next come first.
    std::vector<WantedPermits> takeWantedPermits();

    /// Queues a request; returns a refusal if it is refused at once, with RetryBudgetSpent or a code of AdmissionQueue::offer. The id
    /// must not be that of a queued request.
    std::optional<SchedulerRefusal> submit(SchedulerRequest request, TimePoint now);

    /// Removes a queued request whose caller disconnected.
    void cancel(RequestId id, TimePoint now);

    /// Removes the queued requests of a withdrawn key and refuses each with KeyWithdrawn.
    std::vector<SchedulerOutcome> withdrawKey(std::string_view team, std::string_view keyId, TimePoint now);

    /// Refuses expired requests with DeadlineWouldPass and those that no engine will serve with NoTarget; assigns those that can be
    /// dispatched now. Call it after every other change and at `nextDeadline`.
    std::vector<SchedulerOutcome> decide(TimePoint now, Random &random);

    /// When to call `decide` next if nothing else changes.
    std::optional<TimePoint> nextDeadline() const;

    /// Refuses new requests; queued requests are still served.
    void drain();

    /// Records that another host sent a request to an engine; see Placement::onDispatchedByPeer.
    void onDispatchedByPeer(std::string_view engine, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now);

    /// A dispatched request was sent to its target on an established connection.
    void onSent(RequestId id, TimePoint now);

    /// The answer to a dispatched request has begun, and is not a rejection.
    void onAccepted(RequestId id, TimePoint now);

    /// Whether the target of a dispatched request, which tolerates few rejections, may still reject it; see SlotLeases.
    bool isUndecided(RequestId id);

    /// Records the first token; `cachedTokens` is the engine's own count if the answer contains one.
    void onFirstToken(RequestId id, std::optional<std::uint32_t> cachedTokens, TimePoint now);

    /// Records the end of a dispatched request. Ids that are unknown or have ended are ignored here, in onFirstToken() and in onEngineSilent().
    void onEnded(RequestId id, DispatchResult end, TimePoint now);

    /// Whether a dispatched request could be retried at another engine now: one has room in its window and the retry budget allows it.
    /// Also true if the request is unknown or has ended, or if its engine was removed.
    bool canRetryElsewhere(RequestId id, TimePoint now);

    /// The engine has been silent for too long about a dispatched request that stays there: shrinks the window, as the engine is overloaded.
    void onEngineSilent(RequestId id, TimePoint now);

    /// The reports of an engine are passed on to Placement; those of engines that are not listed are ignored.
    void onLoadReport(std::string_view engine, const LoadReport &report, TimePoint now);
    void onCacheEvents(std::string_view engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events);
    void onCacheResync(std::string_view engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks);

    /// Number of queued requests.
    std::size_t waiting() const;

    /// Number of dispatched requests that have not ended.
    std::size_t inFlight() const;

    /// Size of the window: requests that this host may have in flight at an engine; 0 if the engine is not listed.
    std::size_t windowOf(std::string_view engine) const;

    /// Whether the engine is ejected because it is slow or failing.
    bool isEjected(std::string_view engine) const;

private:
    /// State of an engine in addition to that kept by Placement.
    struct Engine
    {
        EngineWindow window;
        std::string target;
        std::string softwareVersion;
        ModelId model{};
        std::uint64_t incarnation = 0;
        std::uint64_t generation = 0; ///< Distinguishes the engine from an earlier one with the same index.
        bool isServing = false;
        std::optional<TimePoint> restUntil;
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
        std::uint64_t generation = 0;
        EngineWindow::Dispatch window;
        std::vector<BlockHash> addedBlocks; ///< Blocks that the engine did not hold before.
        std::optional<std::string> softwareVersion; ///< As in the request.
        std::string target;
        SlotId slot = 0;
    };

    /// Result of placing the next request of the queue.
    struct Choice
    {
        std::optional<PlacementDecision> engine;
        Reason reason;
        Duration retryAfter{}; ///< If the request is refused.
    };

    RetryBudget &budgetOf(ModelId model);
    std::optional<SchedulerRefusal> checkRetry(const SchedulerRequest &request, TimePoint now);
    bool choose(const QueuedRequest &queued, TimePoint now, Random &random, Choice &choice);
    void updatePermitWaits(ModelId pool, TimePoint now);
    bool refuseWithoutPermits(const SchedulerRequest &request, ModelId pool, TimePoint now, Choice &choice) const;
    std::optional<Duration> restTimeLeft(const SchedulerRequest &request, TimePoint now);
    void wantPermits(bool isPlaced, TimePoint now);
    void releaseSlot(const InFlight &ended, DispatchResult end, TimePoint now);
    const InFlight *findWithSlot(RequestId id) const;
    std::optional<double> permittedRate(const SchedulerRequest &request, ModelId pool, TimePoint now) const;
    std::optional<SchedulerRefusal> checkPermits(const SchedulerRequest &request, ModelId pool, TimePoint now);
    static bool isEligible(const Engine &engine, ModelId pool, const std::optional<std::string> &softwareVersion);
    ModelId queueOf(const SchedulerRequest &request, ModelId pool);
    void scaleQueues(const std::map<EngineIndex, Engine> &updated);
    ModelId poolOf(const std::string &model, const std::string &pool);
    std::span<const VersionedChain> chainsOf(const SchedulerRequest &request);
    PlacementRequest placementRequest(const SchedulerRequest &request);
    SchedulerOutcome assign(const QueuedRequest &queued, TimePoint now, const Choice &choice);
    std::vector<std::string> findHolders(std::span<const BlockHash> blocks, const PlacementDecision &decision) const;
    SchedulerRefusal refuse(RequestId id, Reason reason, Duration retryAfter);
    Engine *engineOf(const InFlight &request);

    const std::uint32_t blockTokens_;
    AdmissionQueue queue_;
    Placement placement_;
    RetryBudget::Limits retryLimits_;
    std::unordered_map<ModelId, RetryBudget> retryBudgets_;
    IdTable<TeamId> teams_;
    IdTable<KeyId> keys_;
    IdTable<ModelId> models_;
    IdTable<ModelVersionId> modelVersions_;
    std::map<EngineIndex, Engine> engines_;
    SendPermits *permits_ = nullptr;
    bool hadLimits_ = false; ///< Whether engines were last placed with permits.
    std::vector<WantedPermits> wantedPermits_;
    std::map<EngineGroup, std::string> groupModels_; ///< Model and pool of each group.
    std::map<EngineGroup, TimePoint> statisticsToldAt_;
    std::map<ModelId, DecayingCount> permitUse_; ///< Requests that this host has sent with permits.
    std::size_t hostCount_ = 1;
    std::map<ModelId, std::vector<Version>> versions_;
    std::unordered_map<RequestId, SchedulerRequest> requests_; ///< Queued requests.
    std::unordered_map<RequestId, InFlight> inFlight_;
    std::vector<std::vector<BlockHash>> blockScratch_;
    std::vector<VersionedChain> chainScratch_;
    std::vector<EngineIndex> failedScratch_;
    std::uint64_t lastGeneration_ = 0;
};

} // namespace Lovageloft
