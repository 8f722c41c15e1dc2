#pragma once

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
#include "decision/dispatch_table.h"
#include "decision/engine_health.h"
#include "decision/engine_load.h"
#include "decision/eviction_estimator.h"
#include "decision/prefix_chain.h"
#include "decision/prefix_heat.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

/// A small number that the router gives to a model at one version of its weights. Only engines of that number can hold
/// blocks of a chain that was seeded with it.
using ModelVersionId = std::uint32_t;

/// One engine as the configuration and its own announcements describe it.
struct EngineStatus
{
    std::string_view name; ///< Unique; also what rendezvous hashing goes by.
    ModelVersionId modelVersion = 0;
    std::uint64_t incarnation = 0; ///< 0 while not known; it then comes with reports and events.
    double weight = 1; ///< Configured share of cold work, relative to others, the same on every host.
    double prefillTokensPerSecond = 10'000; ///< Speed at which it computes missed prompt tokens.
    std::uint32_t batchLimit = 64; ///< Requests it generates for at once.
    double cacheTokens = 0; ///< Tokens that its memory holds; 0 while not known.
    bool isServing = true; ///< False: it is leaving or loading and gets no new work.
    bool isRemote = false; ///< In another data centre than this host.
    std::optional<TimePoint> firstTokenDeadline = std::nullopt; ///< No request that may begin later is sent to it; not set while it serves without end.
};

/// The prompt's chain under one version of the weights that may answer it.
struct VersionedChain
{
    ModelVersionId modelVersion = 0;
    std::span<const BlockHash> blocks;
};

/// A request to be placed. All views must live until the call returns.
struct PlacementRequest
{
    std::span<const VersionedChain> chains; ///< One a version that may serve it; two while new weights are brought in.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< The most it may generate.
    std::span<const EngineIndex> excluded = {}; ///< Engines that have failed this request already.
    std::size_t bytes = 0; ///< That go to the engine and back.
};

/// Where a request should go.
struct PlacementDecision
{
    EngineIndex engine = 0;
    ModelVersionId modelVersion = 0;
    std::uint32_t expectedCachedTokens = 0; ///< Prompt tokens that the engine is believed to hold.
    double expectedFirstTokenSeconds = 0; ///< Seconds from now, with the engine's slowness.
    double expectedWork = 0; ///< Seconds of prefill at the engine's usual speed.
    std::uint32_t workTokens = 0; ///< The same in prompt tokens of a short prompt.
    std::uint32_t newTokens = 0; ///< Tokens that it adds to the engine's memory.
    double nominalFirstTokenSeconds = 0; ///< Seconds from now were the engine not slow; what its health is measured by.
    bool isProbe = false; ///< Sent to find out whether an ejected engine has recovered.
};

/// What the choice weighs; docs/design/placing.md has the figures behind the defaults. Each candidate has a price in seconds: its
/// wait and, times a factor, the prefill that it would have to do. The factor is recomputeWeight, pressureWeight times the mean
/// wait of all engines, and the margin of what the candidate is.
struct PlacementPolicy
{
    std::size_t cacheViewBlocks = 1'500'000; ///< Cached blocks in view; 34 MB.
    std::uint32_t blockTokens = prefixBlockTokens; ///< Tokens that one block of a chain counts for.
    std::uint32_t minAnnouncedTokens = 0; ///< Requests that compute fewer tokens are not told to other hosts, which send as many.
    double attentionParityTokens = 0; ///< Context at which attention costs a prompt token as much as the weights do; 0: attention costs nothing.
    double hostCount = 1; ///< Hosts that decide likewise; the work seen here times this is the fleet's.
    double splitLoad = 0.3; ///< Engine-seconds a second that one engine is given of a hot prefix; see PrefixHeat.
    std::size_t randomCandidates = 2;
    double recomputeWeight = 2.0; ///< More than 1, as those behind wait for the prefill as well.
    double pressureWeight = 3.0; ///< A second, as at saturation each prefix computed twice takes capacity from all.
    double copyMargin = -1.0; ///< Of winners that the prefix's heat calls for: the copy serves many that come after.
    double secondMargin = 1.0; ///< Of other winners after the first.
    double strayMargin = 2.0; ///< Of engines that don't win the prefix's hash: a restarted host would not look there.
    double fallbackMargin = 2.0; ///< Of all other engines, weighed only once no candidate can begin with the request.
    double remoteWaitPerKilobyte = 0; ///< Seconds of wait that 1,000 bytes sent to another data centre are worth.
    double firstTokenSafetyFactor = 2.0; ///< Times the expected time to the first token: what a request is given where it must begin in time.
    double openWait = 3.0; ///< Seconds of expected wait up to which an engine with room in its window is used.
    double closedWait = 1.0; ///< The same for one without room.
    double holdSlack = 0.3; ///< Square seconds: over the mean wait, by how much dearer than the best an engine may be that can begin now.
};

/// Decides which engine gets a request. Made for prompts that share long nested prefixes over 18 engines today and 1,000 in two
/// years: an engine that holds the prefix answers at once, while recomputing it makes all behind it wait. Candidates are the
/// rendezvous winners of the prefix, engines in the cache view that hold it, and two random ones; the least
/// price wins, which is the expected time to the first token with recomputation made dearer. All state is this host's own, and losing it costs some
/// recomputation only. Not thread-safe.
class Placement
{
public:
    explicit Placement(const PlacementPolicy &policy = {});

    /// Replaces the list of engines. An engine that is still listed keeps its index and what is known of it; one that changed
    /// its version or incarnation has lost its cache. What an engine that is no longer listed held is dropped at once.
    /// False if more than maxEngines names were in use at once; the rest is then left out.
    bool setEngines(std::span<const EngineStatus> engines);

    /// The index of a listed engine.
    std::optional<EngineIndex> findEngine(std::string_view name) const;

    std::string_view engineName(EngineIndex engine) const;

    /// Says whether an engine's window of running requests has room; at first all have. One without room still gets requests
    /// while it would begin with them within PlacementPolicy::closedWait: what its cache holds costs it hardly anything, while
    /// sending it elsewhere costs another engine the whole prefix and the blocks that it evicts for it.
    void setWindowOpen(EngineIndex engine, bool isOpen);

    /// How many hosts decide likewise.
    void setHostCount(std::size_t count);

    /// Prompt tokens that the engine best suited to the request still has to compute, for the cost by which it is queued.
    std::uint32_t expectedMissedTokens(const PlacementRequest &request) const;

    /// Chooses an engine. NoTarget if none of the versions has an engine that serves, Overloaded if the
    /// engines that suit the request are busy; it should then wait in its queue.
    std::optional<PlacementDecision> place(const PlacementRequest &request, TimePoint now, Random &random, Reason &reason);

    /// Notes that the request was sent as decided.
    DispatchId onDispatched(const PlacementRequest &request, const PlacementDecision &decision, TimePoint now);

    /// Notes that another host sent a request to the engine: what it has to compute in prompt tokens of a short prompt, and the blocks that it holds then.
    /// Without it hosts that see an engine idle at the same moment all send their long prompts there.
    void onDispatchedByPeer(EngineIndex engine, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now);

    /// Notes the first token; `cachedTokens` is the engine's own count where the answer gives one.
    void onFirstToken(DispatchId dispatch, std::optional<std::uint32_t> cachedTokens, TimePoint now);

    /// Notes the end of a complete answer. Unknown and repeated ids are ignored here and below.
    void onFinished(DispatchId dispatch, TimePoint now);

    /// Notes that the engine failed the request. Not to be called when the caller went away: use onCancelled.
    void onFailed(DispatchId dispatch, TimePoint now);

    /// Notes that the caller gave up, which says nothing about the engine.
    void onCancelled(DispatchId dispatch);

    void onLoadReport(EngineIndex engine, const LoadReport &report, TimePoint now);

    void onCacheEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events);

    void onCacheResync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks);

    /// Requests sent by this host that have not ended.
    std::size_t inFlight(EngineIndex engine) const;

    const EngineHealth &health() const;
    const CacheView &cacheView() const;

private:
    struct Engine
    {
        std::string name = {};
        ModelVersionId modelVersion = 0;
        std::uint64_t incarnation = 0;
        double prefillSecondsPerToken = 0;
        double batchLimit = 0;
        LoadReport lastReport = {};
        double reportedBacklog = 0; // Its part of totalBacklog_.
        double cacheTrust = 1; // Part of the tokens believed cached that answers confirm.
        double requestSeconds = 1; // Mean time of a request from its first token to its end.
        std::size_t inFlight = 0;
        std::uint32_t epoch = 0; // Told apart from earlier engines that had the same index.
        bool isListed = false;
        bool isServing = false;
        bool isRemote = false;
        bool isOpen = true;
        std::optional<TimePoint> firstTokenDeadline = std::nullopt;
        EngineLoad load = {};
        EvictionEstimator cache = {};
        std::deque<DispatchId> unanswered = {}; // In the order sent; those already answered are taken off when they come to the front.
    };

    struct Version
    {
        ModelVersionId id = 0;
        std::vector<RendezvousNode> nodes;
        std::vector<RendezvousNode> localNodes; ///< Those in this host's data centre.
    };

    /// What one call of place is about, and the best candidate so far.
    struct Choice
    {
        const PlacementRequest *request = nullptr;
        const VersionedChain *chain = nullptr;
        TimePoint now;
        double leastPrice = 0; // Of all engines, also those that are too busy.
        double bestScore = 0;
        std::optional<PlacementDecision> best = std::nullopt; // Of those that can take it now.
        bool sawServing = false;
        bool sawUsable = false;
    };

    std::optional<EngineIndex> takeIndex();
    void updateEngine(EngineIndex index, const EngineStatus &status);
    void removeEngine(EngineIndex index);
    void noteSent(EngineIndex index, std::span<const BlockHash> shared, double newTokens);
    void setBacklog(Engine &engine, double backlog);
    double pressure() const;
    double workPrice(double margin) const;
    void forgetCacheAndLoad(EngineIndex index, std::uint64_t incarnation);
    void rebuildVersions(std::span<const EngineStatus> engines);
    void consider(Choice &choice, EngineIndex engine, std::size_t heldBlocks, double workPrice);
    void considerChain(Choice &choice, const Version &version, Random &random);
    void considerWinners(Choice &choice, std::span<const RendezvousNode> nodes, const PrefixRoute &route);
    double crossingPrice(const PlacementRequest &request) const;
    bool belongsLocally(const PlacementRequest &request, const VersionedChain &chain, const Version &version) const;
    double waitOf(const Engine &engine, EngineIndex index, TimePoint now) const;
    void considerAll(Choice &choice, const Version &version);
    bool isUsable(const Choice &choice, EngineIndex engine) const;
    bool canBegin(const Engine &engine, double wait) const;
    bool beginsInTime(const Engine &engine, double firstToken, TimePoint now) const;
    double slotWaitOf(const Engine &engine) const;
    double prefillSeconds(const Engine &engine, double held, double missed) const;
    double latenessOf(const Engine &engine, TimePoint now) const;
    void observeSpeed(EngineIndex index, const LoadReport &report, TimePoint now);
    void close(const Dispatch &dispatch);
    void dropAnswered(Engine &engine);

    PlacementPolicy policy_;
    CacheView view_;
    PrefixHeat heat_;
    EngineHealth health_;
    std::map<std::string, EngineIndex, std::less<>> indexOf_;
    std::vector<Engine> engines_;
    std::deque<EngineIndex> freeIndexes_;
    std::vector<Version> versions_;
    DispatchTable dispatches_;
    double totalBacklog_ = 0; // Seconds, as of each engine's last report.
    std::vector<BlockHash> droppedScratch_;
    std::vector<std::uint16_t> heldScratch_; // Blocks held by engine; all 0 between calls.
};

} // namespace Lovageloft
