#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "core/result_code.h"
#include "decision/cache_view.h"
#include "decision/candidate_ranking.h"
#include "decision/dispatch_table.h"
#include "decision/engine_health.h"
#include "decision/engine_load.h"
#include "decision/eviction_estimator.h"
#include "decision/prefix_chain.h"
#include "decision/prefix_heat.h"
#include "decision/rendezvous.h"
#include "estimation/engine_time_model.h"
#include "estimation/pace_tracker.h"
#include "partitioning/engine_partition.h"

namespace Lovageloft
{

/// Description of one engine, from the configuration and from the engine's own announcements.
struct EngineStatus
{
    std::string_view name; ///< Unique; also the input of rendezvous hashing.
    ModelVersionId modelVersion = 0;
    EngineGroup group = 0;
    std::uint64_t incarnation = 0; ///< 0 while unknown; reports and events then supply it.
    double weight = 1; ///< Configured relative share of requests without a cached prefix, the same on every host. At 0, only cached prefixes bring requests.
    double prefillTokensPerSecond = 10'000; ///< Speed of computing prompt tokens that are not cached.
    std::uint32_t batchLimit = 64; ///< Maximum requests in its batch.
    double cacheTokens = 0; ///< Capacity of its cache in tokens; 0 while unknown.
    bool isServing = true; ///< False while the engine is draining or loading; it then gets no new requests.
    bool isRemote = false; ///< True if it is in another data centre than this host.
    std::optional<TimePoint> firstTokenDeadline = std::nullopt; ///< It gets no request whose first token may come later; no limit if not set.
};

/// The block chain of a prompt for one version of the weights that may serve it.
struct VersionedChain
{
    ModelVersionId modelVersion = 0;
    std::span<const BlockHash> blocks;
};

/// A request to be placed. All views must stay valid until the call returns.
struct PlacementRequest
{
    std::span<const VersionedChain> chains; ///< One per version that may serve the request; two during a rollout of new weights.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Maximum tokens that it may generate.
    std::span<const EngineIndex> excluded = {}; ///< Engines that have already failed this request.
    std::size_t bytes = 0; ///< Bytes sent to the engine and back.
};

/// Parameters of the placement decision; docs/design/placing.md has the figures behind the defaults. The cost of a candidate in
/// seconds is
///
///     wait + (recomputeWeight + meanWaitWeight * mean wait of all engines + margin) * prefill time + remote cost
///
/// The margin depends on the kind of candidate; it is 0 for the first rendezvous winner, unless replicaMargin applies. The remote
/// cost is 0 for engines in this data centre and for long prompts. An ejected engine that is due for a probe has the lowest cost.
struct PlacementPolicy
{
    std::size_t cacheViewBlocks = 1'500'000; ///< Capacity of the cache view in blocks; the default takes 34 MB.
    std::uint32_t blockTokens = prefixBlockTokens; ///< Tokens per block; must match the function that makes the digests of the chains.
    std::uint32_t minAnnouncedTokens = 0; ///< Requests with fewer workTokens are not announced; each other host is assumed to send as many of them.
    double attentionParityTokens = 0; ///< Context length at which attention costs as much per prompt token as the weights do; 0 ignores attention.
    double hostCount = 1; ///< Hosts that place requests; the work of this host times the count estimates the work of the fleet.
    double splitLoad = 0.3; ///< Load of a hot prefix, in engine-seconds per second, that one engine takes; see PrefixHeat.
    std::size_t randomCandidates = 2; ///< Random engines evaluated per chain; every second one is from this data centre.
    double recomputeWeight = 2.0; ///< Greater than 1, since requests queued behind wait for the prefill as well.
    double meanWaitWeight = 3.0; ///< Per second of mean wait: at saturation each prefix computed twice takes capacity from all requests.
    double replicaMargin = -1.0; ///< For winners that the prefix's load requires: many later requests reuse the copy.
    double laterWinnerMargin = 1.0; ///< For other rendezvous winners after the first.
    double nonWinnerMargin = 2.0; ///< For engines that are no rendezvous winner of the prefix: a restarted host would not find the copy there.
    double fallbackMargin = 2.0; ///< For the fallback over all engines, used if no candidate can take the request; cached prefixes do not count there.
    double remoteWaitPerKilobyte = 0; ///< Cost of sending 1,000 bytes to another data centre, in seconds of wait.
    double firstTokenSafetyFactor = 2.0; ///< The expected time to the first token times this must fit before an engine's firstTokenDeadline.
    double maxWaitWindowOpen = 3.0; ///< Maximum expected wait in seconds for an engine with room in its window.
    double maxWaitWindowFull = 1.0; ///< Maximum expected wait in seconds for an engine whose window is full.
    double otherClassCost = 1.0; ///< In seconds, for an engine that is for prompts of the other class while a group is divided; see EnginePartition.
    double holdSlack = 0.3; ///< In s^2. A request waits if the best engine that can take it costs over holdSlack / mean wait more than the cheapest one.

    /// The policy for hosts that announce their long prompts to each other. They find a prefix on whichever engine computed it, so that a prompt
    /// with a new prefix need not wait for the engine that rendezvous hashing selects. Small margins remain: a host that has just started
    /// has heard no announcements.
    static PlacementPolicy withAnnouncements();
};

/// What is learned of the engines that serve one model, and how they are divided.
struct AdaptiveGroup
{
    explicit AdaptiveGroup(const TimeCoefficients &assumed)
        : times(assumed)
    {
    }

    EngineTimeModel times;
    EnginePartition partition;
    std::size_t engineCount = 0; ///< Serving engines.
    std::array<double, 2> generationSeconds{1, 1}; ///< By PromptClass: mean time from the first token to the end.
    TimePoint updatedAt;
};

/// Decides which engine gets a request. Designed for prompts that share long nested prefixes, over 18 to 1,000 engines: an engine
/// that holds the prefix answers at once, while recomputing the prefix delays all requests queued behind it. Candidates are the
/// rendezvous winners of the prefix, the engines that hold it according to the cache view, and some random engines. The candidate
/// with the lowest cost wins; see PlacementPolicy. All state is local to this host; losing it only causes some recomputation. Not
/// thread-safe.
class Placement
{
public:
    explicit Placement(const PlacementPolicy &policy = {});

    /// Replaces the list of engines; names are copied. An engine that is still listed keeps its index and state, but a new version
    /// drops its cache entries, and a new incarnation drops its cache entries, load, unanswered requests and health. All state of
    /// an engine that is no longer listed is dropped at once.
    /// Returns false if there are more than maxEngines names; the excess engines are ignored.
    bool setEngines(std::span<const EngineStatus> engines);

    /// Returns the index of a listed engine.
    std::optional<EngineIndex> findEngine(std::string_view name) const;

    /// Returns the name of a listed engine, or an empty one for an index that is no longer in use. Valid until the next setEngines();
    /// `engine` must have been returned by findEngine().
    std::string_view engineName(EngineIndex engine) const;

    /// Sets whether an engine's window has room for another request; initially true for all. An engine with a full window still
    /// gets requests while its expected wait is at most PlacementPolicy::maxWaitWindowFull: a request for a cached prefix costs it
    /// little, while another engine would have to compute the whole prefix and evict other blocks for it.
    void setWindowOpen(EngineIndex engine, bool isWindowOpen)
    {
        engines_[engine].isWindowOpen = isWindowOpen;
    }

    /// Sets the time in seconds until a request may be sent to the engine; initially 0. Until then it gets none, but a request may wait for it.
    void setPermitWait(EngineIndex engine, double seconds)
    {
        engines_[engine].permitWait = seconds;
    }

    /// Engines that the last call of place() would have preferred to the one that it chose, had a request been permitted there; the best first.
    const std::vector<EngineIndex> &preferredWithoutPermit() const
    {
        return preferredWithoutPermit_;
    }

    /// Sets the number of hosts that place requests on these engines.
    void setHostCount(std::size_t count);

    /// Adapts to the engines of a group: learns their times, and divides them between short and long prompts while both compete for them. See EngineTimeModel
    /// and EnginePartition.
    void enableAdaptation(EngineGroup group);

    /// All groups that placement adapts to.
    const std::map<EngineGroup, AdaptiveGroup> &adaptiveGroups() const
    {
        return adaptiveGroups_;
    }

    /// What is known of a group; null unless adaptation to it is enabled.
    const AdaptiveGroup *adaptiveGroup(EngineGroup group) const;

    /// The group of an engine.
    EngineGroup groupOf(EngineIndex engine) const
    {
        return engines_[engine].group;
    }

    /// Whether a prompt counts as long where engines are divided.
    bool isLong(std::uint32_t promptTokens) const
    {
        return promptTokens >= policy_.minAnnouncedTokens;
    }

    /// The engine has stated its pace, relative to the usual 1.
    void onPaceStated(EngineIndex engine, double pace, TimePoint now);

    /// Another host has told what it observed of an engine's group.
    void mergeStatistics(EngineGroup group, std::uint64_t host, const TimeStatistics &statistics, TimePoint now);

    /// Returns the prompt tokens that the engine with the longest cached prefix still has to compute; part of the request's queueing cost.
    std::uint32_t expectedMissedTokens(const PlacementRequest &request) const;

    /// Chooses an engine. The reason is NoTarget if no engine serves any of the versions, or each would begin after its
    /// firstTokenDeadline. It is Overloaded if the engines are busy, ejected or excluded, or if those that could take the request
    /// cost too much more than a busy one (see PlacementPolicy::holdSlack); the request should then wait in its queue.
    std::optional<PlacementDecision> place(const PlacementRequest &request, TimePoint now, Random &random, Reason &reason);

    /// Records that the request was sent as decided.
    DispatchId onDispatched(const PlacementRequest &request, const PlacementDecision &decision, TimePoint now);

    /// Records that another host sent a request to the engine: its prefill time in tokens at nominal speed, the tokens that it adds
    /// to the cache, and the blocks that the engine then holds. Without this, hosts that see an engine idle at the same moment all
    /// send their long prompts there.
    void onDispatchedByPeer(EngineIndex engine, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now);

    /// Records the first token; `cachedTokens` is the engine's own count if the answer has one.
    void onFirstToken(DispatchId dispatch, std::optional<std::uint32_t> cachedTokens, TimePoint now);

    /// Records the end of a complete answer. Unknown and repeated ids are ignored here and below.
    void onFinished(DispatchId dispatch, TimePoint now);

    /// Records that the engine failed the request. If the caller disconnected, call onCancelled instead.
    void onFailed(DispatchId dispatch, TimePoint now);

    /// Records that the caller disconnected, which does not affect the engine's health.
    void onCancelled(DispatchId dispatch);

    /// Records that the engine did not run the request: it does not hold `addedBlocks`, which it would have computed.
    void onDeclined(DispatchId dispatch, std::span<const BlockHash> addedBlocks);

    /// Applies a load report. Reports of unlisted engines and earlier incarnations and reports out of order are ignored; a new
    /// incarnation drops the engine's cache entries, load and health.
    void onLoadReport(EngineIndex engine, const LoadReport &report, TimePoint now);

    /// Applies cache events, see CacheView::applyEvents. Events of unlisted engines are ignored; a new incarnation is handled as in
    /// onLoadReport.
    void onCacheEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events);

    /// Replaces the cache entries of a listed engine, see CacheView::resync. A new incarnation drops only the cache entries here; load
    /// and health follow with the next report or event.
    void onCacheResync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks);

    /// Returns the number of requests sent by this host that have not ended.
    std::size_t inFlight(EngineIndex engine) const
    {
        return engines_[engine].inFlight;
    }

    const EngineHealth &health() const
    {
        return health_;
    }

    const CacheView &cacheView() const
    {
        return view_;
    }

private:
    struct Engine
    {
        std::string name = {};
        ModelVersionId modelVersion = 0;
        EngineGroup group = 0;
        double position = 0; // Between 0 and 1; see EnginePartition.
        PaceTracker pace = {};
        std::uint64_t incarnation = 0;
        double prefillSecondsPerToken = 0;
        double batchLimit = 0;
        LoadReport lastReport = {};
        double reportedBacklog = 0; // Included in totalBacklog_.
        double cacheConfidence = 1; // Fraction of the tokens expected in the cache that answers confirm.
        double generationSeconds = 1; // Mean time from the first token of a request to its end.
        std::size_t inFlight = 0;
        std::uint32_t epoch = 0; // Distinguishes the engine from earlier ones with the same index.
        bool isListed = false;
        bool isServing = false;
        bool isRemote = false;
        bool isWindowOpen = true;
        double permitWait = 0; // Seconds.
        std::optional<TimePoint> firstTokenDeadline = std::nullopt;
        EngineLoad load = {};
        EvictionEstimator cache = {};
        std::deque<DispatchId> unanswered = {}; // In send order; an answered one is removed when it reaches the front.
    };

    struct Version
    {
        ModelVersionId id = 0;
        EngineGroup group = 0;
        std::vector<RendezvousNode> nodes; ///< Ascending by id.
        std::vector<RendezvousNode> localNodes; ///< The nodes in this host's data centre.
    };

    /// State of one call of place(): its input and the best candidate so far.
    struct Choice
    {
        const PlacementRequest *request = nullptr;
        const VersionedChain *chain = nullptr;
        const AdaptiveGroup *group = nullptr; ///< Group of the version; null unless adaptation to it is enabled.
        TimePoint now;
        CandidateRanking ranking = {};
        bool foundServing = false;
    };

    std::optional<EngineIndex> allocateIndex();
    void updateEngine(EngineIndex index, const EngineStatus &status);
    void removeEngine(EngineIndex index);
    void recordSent(EngineIndex index, std::span<const BlockHash> shared, double newTokens);
    void setBacklog(Engine &engine, double backlog);
    double meanWait() const;
    double prefillWeight(double margin) const;
    void clearCacheAndLoad(EngineIndex index, std::uint64_t incarnation);
    void rebuildVersions(std::span<const EngineStatus> engines);
    void evaluateEngine(Choice &choice, EngineIndex engine, std::size_t heldBlocks, double prefillWeight);
    void evaluateChain(Choice &choice, const Version &version, Random &random);
    void evaluateWinners(Choice &choice, std::span<const RendezvousNode> nodes, const PrefixRoute &route);
    double remoteCost(const PlacementRequest &request) const;
    bool usesLocalWinners(const PlacementRequest &request, const VersionedChain &chain, const Version &version) const;
    double engineWait(const Engine &engine, EngineIndex index, TimePoint now) const;
    AdaptiveGroup *findGroup(EngineGroup group);
    void updateGroup(AdaptiveGroup &group, TimePoint now);
    bool isKeptFree(const Choice &choice, const Engine &engine) const;
    PromptClass classOf(const PlacementRequest &request) const;
    void addWork(const Engine &engine, PromptClass promptClass, double prefillSeconds, double count, TimePoint now);
    std::span<const RendezvousNode> drawnNodes(const Choice &choice, std::span<const RendezvousNode> nodes) const;
    void evaluateAllEngines(Choice &choice, const Version &version);
    bool isUsable(const Choice &choice, EngineIndex engine) const;
    bool isWaitAcceptable(const Engine &engine, double wait) const;
    bool beginsInTime(const Engine &engine, double firstToken, TimePoint now) const;
    double batchSlotWait(const Engine &engine) const;
    double prefillSeconds(const Engine &engine, double held, double missed) const;
    double overdueSeconds(const Engine &engine, TimePoint now) const;
    void observeSpeed(EngineIndex index, const LoadReport &report, TimePoint now);
    void closeDispatch(const Dispatch &dispatch);
    void removeAnswered(Engine &engine);

    PlacementPolicy policy_;
    CacheView view_;
    PrefixHeat heat_;
    EngineHealth health_;
    std::map<std::string, EngineIndex, std::less<>> indexByName_;
    std::vector<Engine> engines_;
    std::deque<EngineIndex> freeIndexes_;
    std::vector<Version> versions_;
    std::map<EngineGroup, AdaptiveGroup> adaptiveGroups_;
    DispatchTable dispatches_;
    double totalBacklog_ = 0; // Seconds; sum over the engines' last reports.
    std::vector<EngineIndex> preferredWithoutPermit_;
    std::vector<BlockHash> evictedScratch_;
    std::vector<std::uint16_t> heldScratch_; // Held blocks by engine index; all 0 between calls.
};

} // namespace Lovageloft
