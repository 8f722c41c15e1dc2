#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <vector>

#include "decision/admission_queue.h"
#include "decision/engine_window.h"
#include "replay/placement_strategy.h"
#include "replay/trace.h"

namespace Lovageloft
{

/// Results of a replay as seen by the callers, without the team that exceeds its rate and without the first 20% of the trace, in which
/// the caches fill. Times are in seconds.
struct ReplayResult
{
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0; ///< Refused at admission or because the deadline passed in the queue.
    std::size_t wronglyRefused = 0; ///< Refused although the team is within its rate and the load of all such teams fits the capacity.
    std::size_t inRateRequests = 0; ///< Requests whose refusal would be wrong.
    std::size_t mayHaveRun = 0; ///< Requests on a crashed engine that were generating or are not repeatable.
    double hitRate = 0; ///< Fraction of the prompt tokens that were cached.
    double p50FirstToken = 0;
    double p99FirstToken = 0; ///< p99 from arrival; a refused request counts with its deadline.
    double p99ServedFirstToken = 0; ///< p99 from arrival of served requests only.
    double recomputedTokens = 0; ///< Computed prompt tokens of prefix blocks that some engine had computed before.
    double worstTeamShare = 1; ///< Minimum, over teams within their rate, of served tokens relative to the fair share.
    double goodput = 0; ///< Prompt and answer tokens per second of requests whose first token met the deadline.
    double busyFraction = 0; ///< Fraction of the engines' time spent on prefill.
    double detectionSeconds = 0; ///< Mean time from an engine's slowdown to its ejection, over the routers that ejected it.
    std::size_t detections = 0; ///< Ejections of slow engines, over all routers.
    std::size_t falseEjections = 0; ///< Ejections of engines at normal speed, over all routers.
};

/// Replays a trace in virtual time on one thread, with several routers that decide independently, each with its own admission queue
/// and windows.
class Replay
{
public:
    Replay(const Trace &trace, const StrategySpec &strategy, std::uint64_t seed, const PlacementPolicy &placement = {});

    ReplayResult run();

    static constexpr std::size_t engineCount = 18;
    static constexpr std::size_t routerCount = 8;

private:
    enum class EventKind : std::uint8_t
    {
        Arrival,
        PrefillDone,
        AnswerDone,
        Publish,
        Deliver,
        FaultStarts,
        EngineReturns,
        Tick,
    };

    struct Event
    {
        double time = 0;
        std::uint64_t order = 0;
        EventKind kind = EventKind::Tick;
        std::uint32_t subject = 0;
        std::uint64_t detail = 0;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    /// A load report and the cache events before it, in transit to the routers.
    struct Message
    {
        EngineIndex engine = 0;
        LoadReport report;
        std::uint64_t firstSequence = 0;
        std::vector<CacheEvent> events;
    };

    enum class State : std::uint8_t
    {
        New,
        Waiting,
        InEngine,
        Generating,
        Done,
    };

    /// State of one request.
    struct Progress
    {
        State state = State::New;
        std::uint32_t attempt = 0;
        std::uint32_t router = 0;
        std::uint32_t routerEpoch = 0;
        EngineIndex engine = 0;
        DispatchId dispatch = 0;
        EngineWindow::Dispatch window;
        std::array<std::vector<BlockHash>, 2> chains;
        std::vector<EngineIndex> excluded;
    };

    struct Router
    {
        std::unique_ptr<PlacementStrategy> strategy;
        std::unique_ptr<AdmissionQueue> queue;
        std::array<EngineWindow, engineCount> windows;
        std::array<bool, engineCount> isEjected{};
        std::uint32_t epoch = 0;
    };

    using Handler = void (Replay::*)(const Event &event);

    void schedule(double time, EventKind kind, std::uint32_t subject, std::uint64_t detail = 0);
    void onArrival(const Event &event);
    void onPrefillDone(const Event &event);
    void onAnswerDone(const Event &event);
    void onPublish(const Event &event);
    void onDeliver(const Event &event);
    void onFault(const Event &event);
    void onEngineReturns(const Event &event);
    void onTick(const Event &event);

    void startRouter(Router &router);
    void updateRouterEngines();
    void makeChains(std::uint32_t index);
    PlacementRequest placementRequest(std::uint32_t index);
    void offer(Router &router, std::uint32_t index);
    std::array<char, engineCount> openEngines(const Router &router) const;
    void dispatch(Router &router);
    void send(Router &router, std::uint32_t index, const PlacementStrategy::Placed &placed, const PlacementRequest &request);
    void failAttempt(std::uint32_t index);
    void stopEngine(EngineIndex engine, double downSeconds);
    void startPrefill(EngineIndex engine);
    void refuse(std::uint32_t index);
    void recordFirstToken(std::uint32_t index, const EngineJob &job);
    void recordEjections(Router &router);
    bool isMeasured(const TraceRequest &request) const;
    double worstTeamShare() const;
    ReplayResult summarize() const;

    const Trace &trace_;
    const StrategySpec &strategy_;
    PlacementPolicy placement_;
    Random random_;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<EngineModel> engines_;
    std::vector<Router> routers_;
    std::vector<Message> messages_;
    std::vector<Progress> progress_;
    std::vector<VersionedChain> chainScratch_;
    std::unordered_map<BlockHash, char> computed_;
    std::vector<double> firstTokens_;
    std::vector<double> allFirstTokens_;
    std::array<double, 8> requestedTokens_{};
    std::array<double, 8> servedTokens_{};
    double goodTokens_ = 0;
    double promptTokens_ = 0;
    double cachedTokens_ = 0;
    double slowSince_ = -1;
    ReplayResult result_;
};

} // namespace Lovageloft
