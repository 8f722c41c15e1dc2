#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <vector>

#include "decision/admission_queue.h"
#include "decision/engine_window.h"
#include "replay/placing_policy.h"
#include "replay/trace.h"

namespace Lovageloft
{

/// What came of a replay, as the callers saw it, but for those of a team beyond its rate. Times in seconds.
struct ReplayResult
{
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0; ///< At admission or when the deadline passed in the queue.
    std::size_t wronglyRefused = 0; ///< Of teams inside their rate while all teams inside theirs fit the capacity.
    std::size_t inRate = 0; ///< Requests that could have been refused wrongly.
    std::size_t mayHaveRun = 0; ///< Not repeatable and inside an engine that crashed.
    double hitRate = 0; ///< Cached part of the prompt tokens.
    double medianFirstToken = 0;
    double tailFirstToken = 0; ///< p99 from arrival; a refused request counts as its deadline.
    double servedTail = 0; ///< p99 of the served alone.
    double recomputedTokens = 0; ///< Prompt tokens computed of prefixes that some engine had computed before.
    double worstTeamShare = 1; ///< Least, over teams inside their rate, of served tokens over those that it was entitled to.
    double goodput = 0; ///< Prompt and answer tokens a second of requests whose first token came in time.
    double busyPart = 0; ///< Of the engines' time, spent on prompts.
    double detectSeconds = 0; ///< From an engine's slowdown until a router ejected it, mean over the routers that did.
    std::size_t detections = 0; ///< Routers that did.
    std::size_t falseEjections = 0; ///< Of engines that ran at their speed, over all routers.
};

/// Plays a trace in virtual time on one thread: several routers with an admission queue and windows each, that decide apart.
class Replay
{
public:
    Replay(const Trace &trace, const PolicySpec &policy, std::uint64_t seed, const PlacementPolicy &placement = {});

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

    /// A load report with the cache events before it, on its way to the routers.
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
        Inside,
        Generating,
        Done,
    };

    /// A request under way.
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
        std::unique_ptr<PlacingPolicy> policy;
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
    void tellEngines();
    void makeChains(std::uint32_t index);
    PlacementRequest placementRequest(std::uint32_t index);
    void offer(Router &router, std::uint32_t index);
    std::array<char, engineCount> openEngines(const Router &router) const;
    void dispatch(Router &router);
    void send(Router &router, std::uint32_t index, const PlacingPolicy::Placed &placed, const PlacementRequest &request);
    void failAttempt(std::uint32_t index);
    void stopEngine(EngineIndex engine, double downSeconds);
    void startPrefill(EngineIndex engine);
    void refuse(std::uint32_t index);
    void recordFirstToken(std::uint32_t index, const EngineJob &job);
    void watchEjections(Router &router);
    bool isMeasured(const TraceRequest &request) const;
    double worstTeamShare() const;
    ReplayResult summarize() const;

    const Trace &trace_;
    const PolicySpec &policy_;
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
    std::array<double, 8> askedTokens_{};
    std::array<double, 8> servedTokens_{};
    double goodTokens_ = 0;
    double promptTokens_ = 0;
    double cachedTokens_ = 0;
    double slowSince_ = -1;
    ReplayResult result_;
};

} // namespace Lovageloft
