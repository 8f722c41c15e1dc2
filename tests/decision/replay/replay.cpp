#include "replay/replay.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace Lovageloft
{

namespace
{

constexpr double publishIntervalSeconds = 0.25;
/// Fraction of a trace that is not measured, as all caches are empty at the start with any strategy.
constexpr double warmUpFraction = 0.2;
/// Seconds before the deadline at which a request must have left its queue; reserved for the engine.
constexpr double reservedEngineSeconds = 4;
/// Time without new requests before an engine loads new weights.
constexpr double leavingSeconds = 8;
constexpr double tickIntervalSeconds = 0.05;
/// Time after the end of the trace in which queued and running requests may complete.
constexpr double cooldownSeconds = 30;

/// One host's share of the configured speed of all engines.
constexpr double hostTokensPerSecond = Replay::engineCount / EngineModel::prefillSecondsPerToken / Replay::routerCount;

TimePoint at(double seconds)
{
    return TimePoint(fromSeconds(seconds));
}

std::string engineName(std::size_t engine)
{
    return "engine-" + std::to_string(engine);
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace

Replay::Replay(const Trace &trace, const StrategySpec &strategy, std::uint64_t seed, const PlacementPolicy &placement)
    : trace_(trace)
    , strategy_(strategy)
    , placement_(placement)
    , random_(seed)
    , engines_(engineCount)
    , routers_(routerCount)
    , progress_(trace.requests.size())
{
    for (Router &router : routers_) {
        startRouter(router);
    }
}

ReplayResult Replay::run()
{
    static constexpr std::array<Handler, 8> handlers{&Replay::onArrival,
                                                     &Replay::onPrefillDone,
                                                     &Replay::onAnswerDone,
                                                     &Replay::onPublish,
                                                     &Replay::onDeliver,
                                                     &Replay::onFault,
                                                     &Replay::onEngineReturns,
                                                     &Replay::onTick};
    schedule(trace_.requests.front().arrival, EventKind::Arrival, 0);
    for (std::uint32_t i = 0; i < trace_.faults.size(); ++i) {
        schedule(trace_.faults[i].time, EventKind::FaultStarts, i);
    }
    for (std::uint32_t engine = 0; engine < engineCount; ++engine) {
        schedule(publishIntervalSeconds * (engine + 1) / engineCount, EventKind::Publish, engine);
    }
    for (std::uint32_t router = 0; router < routerCount; ++router) {
        schedule(tickIntervalSeconds * (router + 1) / routerCount, EventKind::Tick, router);
    }
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        (this->*handlers[static_cast<std::size_t>(event.kind)])(event);
    }
    return summarize();
}

void Replay::schedule(double time, EventKind kind, std::uint32_t subject, std::uint64_t detail)
{
    events_.push({time, order_++, kind, subject, detail});
}

void Replay::onArrival(const Event &event)
{
    const std::uint32_t index = event.subject;
    if (index + 1 < trace_.requests.size()) {
        schedule(trace_.requests[index + 1].arrival, EventKind::Arrival, index + 1);
    }
    const TraceRequest &request = trace_.requests[index];
    requestedTokens_[request.team] += !isMeasured(request) ? 0 : request.promptTokens + request.answerTokens;
    makeChains(index);
    progress_[index].router = static_cast<std::uint32_t>(randomBelow(random_, routerCount));
    Router &router = routers_[progress_[index].router];
    offer(router, index);
    dispatch(router);
}

void Replay::offer(Router &router, std::uint32_t index)
{
    const TraceRequest &request = trace_.requests[index];
    progress_[index].state = State::Waiting;
    const std::uint32_t cost = router.strategy->missedTokens(placementRequest(index)) + request.answerTokens;
    const AdmissionDecision decision = router.queue->offer({.id = RequestId{index},
                                                            .team = TeamId{request.team},
                                                            .model = ModelId{request.model},
                                                            .cost = cost,
                                                            .deadline = at(request.arrival + request.deadline - reservedEngineSeconds)},
                                                           at(now_));
    if (!decision.isAdmitted) {
        refuse(index);
    }
}

std::array<char, Replay::engineCount> Replay::openEngines(const Router &router) const
{
    std::array<char, engineCount> isOpen{};
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        const bool hasRoom = !strategy_.obeysWindows || router.windows[engine].canStart(1);
        isOpen[engine] = static_cast<char>(hasRoom && !engines_[engine].isLeaving);
    }
    return isOpen;
}

void Replay::dispatch(Router &router)
{
    std::optional<PlacementStrategy::Placed> placed;
    const auto canDispatch = [this, &router, &placed](const QueuedRequest &queued) {
        placed = router.strategy->place(placementRequest(static_cast<std::uint32_t>(queued.id)), openEngines(router), at(now_), random_);
        return placed.has_value();
    };
    while (const auto queued = router.queue->next(at(now_), canDispatch)) {
        const auto index = static_cast<std::uint32_t>(queued->id);
        send(router, index, *placed, placementRequest(index));
    }
    for (const ExpiredRequest &expired : router.queue->expire(at(now_))) {
        refuse(static_cast<std::uint32_t>(expired.request.id));
    }
}

void Replay::send(Router &router, std::uint32_t index, const PlacementStrategy::Placed &placed, const PlacementRequest &request)
{
    Progress &progress = progress_[index];
    EngineModel &engine = engines_[placed.engine];
    progress.state = State::InEngine;
    progress.engine = placed.engine;
    progress.routerEpoch = router.epoch;
    progress.window = router.windows[placed.engine].start(std::max(1U, router.strategy->missedTokens(request)), at(now_));
    progress.dispatch = router.strategy->dispatched(request, placed, at(now_));
    ++progress.attempt;
    if (!engine.isUp) {
        failAttempt(index);
        return;
    }
    const std::size_t version = engine.version - 1;
    engine.submit({.request = index,
                   .attempt = progress.attempt,
                   .chain = progress.chains[version],
                   .promptTokens = trace_.requests[index].promptTokens,
                   .answerTokens = trace_.requests[index].answerTokens});
    startPrefill(placed.engine);
}

void Replay::startPrefill(EngineIndex engine)
{
    const std::optional<double> done = engines_[engine].startNext(now_);
    if (done) {
        schedule(*done, EventKind::PrefillDone, engine, engines_[engine].incarnation);
    }
}

void Replay::onPrefillDone(const Event &event)
{
    EngineModel &engine = engines_[event.subject];
    if (engine.incarnation != event.detail) {
        return;
    }
    const EngineJob job = engine.finishPrefill();
    Progress &progress = progress_[job.request];
    progress.state = State::Generating;
    recordFirstToken(job.request, job);
    Router &router = routers_[progress.router];
    if (router.epoch == progress.routerEpoch) {
        router.strategy->firstToken(progress.dispatch, job.cachedTokens, at(now_));
        router.windows[progress.engine].onFirstToken(progress.window, at(now_));
    }
    schedule(now_ + engine.answerSeconds(job), EventKind::AnswerDone, job.request, job.attempt);
    startPrefill(static_cast<EngineIndex>(event.subject));
    dispatch(router);
}

void Replay::onAnswerDone(const Event &event)
{
    Progress &progress = progress_[event.subject];
    if (progress.attempt != event.detail || progress.state != State::Generating) {
        return;
    }
    progress.state = State::Done;
    ++result_.served;
    const TraceRequest &request = trace_.requests[event.subject];
    servedTokens_[request.team] += !isMeasured(request) ? 0 : request.promptTokens + request.answerTokens;
    engines_[progress.engine].finishAnswer();
    startPrefill(progress.engine);
    Router &router = routers_[progress.router];
    if (router.epoch == progress.routerEpoch) {
        router.strategy->finished(progress.dispatch, at(now_));
        router.windows[progress.engine].onFinished(progress.window, at(now_));
    }
    dispatch(router);
}

void Replay::recordFirstToken(std::uint32_t index, const EngineJob &job)
{
    const TraceRequest &request = trace_.requests[index];
    if (!isMeasured(request)) {
        return;
    }
    const double taken = now_ - request.arrival;
    firstTokens_.push_back(taken);
    allFirstTokens_.push_back(taken);
    promptTokens_ += request.promptTokens;
    cachedTokens_ += job.cachedTokens;
    if (taken <= request.deadline) {
        goodTokens_ += request.promptTokens + request.answerTokens;
    }
    for (std::size_t block = job.cachedTokens / prefixBlockTokens; block < job.chain.size(); ++block) {
        if (!computed_.emplace(job.chain[block], 0).second) {
            result_.recomputedTokens += prefixBlockTokens;
        }
    }
}

void Replay::failAttempt(std::uint32_t index)
{
    Progress &progress = progress_[index];
    Router &router = routers_[progress.router];
    const bool hadStarted = engines_[progress.engine].isUp;
    if (router.epoch == progress.routerEpoch) {
        router.strategy->failed(progress.dispatch, progress.engine, at(now_));
        router.windows[progress.engine].onFailed(progress.window, at(now_));
        router.windows[progress.engine].onFinished(progress.window, at(now_));
    }
    if (progress.state == State::Generating || (hadStarted && !trace_.requests[index].isRepeatable)) {
        // A request is not sent again after its first byte, nor if it may have run and is not repeatable.
        progress.state = State::Done;
        ++result_.mayHaveRun;
        return;
    }
    progress.excluded.push_back(progress.engine);
    offer(router, index);
}

void Replay::stopEngine(EngineIndex index, double downSeconds)
{
    EngineModel &engine = engines_[index];
    engine.restart();
    for (std::uint32_t i = 0; i < progress_.size(); ++i) {
        Progress &progress = progress_[i];
        if (progress.engine == index && (progress.state == State::InEngine || progress.state == State::Generating)) {
            failAttempt(i);
        }
    }
    engine.isUp = false;
    schedule(now_ + downSeconds, EventKind::EngineReturns, index);
}

void Replay::onFault(const Event &event)
{
    const Fault &fault = trace_.faults[event.subject];
    EngineModel &engine = engines_[fault.engine];
    switch (fault.kind) {
    case FaultKind::Speed:
        engine.speed = fault.factor;
        slowSince_ = now_;
        break;
    case FaultKind::Crash:
        stopEngine(static_cast<EngineIndex>(fault.engine), fault.factor);
        break;
    case FaultKind::NewWeights:
        // The engine is drained first, so that its running requests complete.
        if (event.detail == 0) {
            engine.isLeaving = true;
            schedule(now_ + leavingSeconds, EventKind::FaultStarts, event.subject, 1);
            updateRouterEngines();
            break;
        }
        stopEngine(static_cast<EngineIndex>(fault.engine), fault.factor);
        ++engine.version;
        updateRouterEngines();
        break;
    case FaultKind::RestartRouters:
        for (Router &router : routers_) {
            startRouter(router);
        }
        break;
    }
}

void Replay::onEngineReturns(const Event &event)
{
    engines_[event.subject].isUp = true;
    engines_[event.subject].isLeaving = false;
    updateRouterEngines();
}

void Replay::startRouter(Router &router)
{
    ++router.epoch;
    router.strategy = strategy_.make({.engines = engines_, .hostCount = routerCount, .placement = placement_});
    if (!router.queue) {
        router.queue = std::make_unique<AdmissionQueue>(QueueLimits{.initialRate = hostTokensPerSecond});
    }
    router.windows = {};
    updateRouterEngines();
}

void Replay::updateRouterEngines()
{
    std::array<std::string, engineCount> names;
    std::array<EngineStatus, engineCount> statuses;
    for (std::size_t i = 0; i < engineCount; ++i) {
        names[i] = engineName(i);
        statuses[i] = {.name = names[i],
                       .modelVersion = engines_[i].version,
                       .prefillTokensPerSecond = 1 / EngineModel::prefillSecondsPerToken,
                       .isServing = !engines_[i].isLeaving};
    }
    for (Router &router : routers_) {
        if (router.strategy) {
            router.strategy->setEngines(statuses);
        }
    }
}

void Replay::onPublish(const Event &event)
{
    const auto index = static_cast<EngineIndex>(event.subject);
    EngineModel &engine = engines_[index];
    if (now_ < trace_.seconds + cooldownSeconds) {
        schedule(now_ + publishIntervalSeconds, EventKind::Publish, index);
    }
    if (!engine.isUp) {
        return;
    }
    messages_.push_back({index, engine.loadReport(at(now_)), engine.nextSequence, std::move(engine.events)});
    engine.events.clear();
    engine.nextSequence += messages_.back().events.size();
    schedule(now_ + trace_.reportLag, EventKind::Deliver, 0, messages_.size() - 1);
}

void Replay::onDeliver(const Event &event)
{
    Message &message = messages_[event.detail];
    for (Router &router : routers_) {
        router.strategy->loadReport(message.engine, message.report, at(now_));
        const bool isLost = static_cast<double>(randomBelow(random_, 10'000)) < trace_.eventLoss * 10'000;
        if (!isLost) {
            router.strategy->cacheEvents(message.engine, message.report.incarnation, message.firstSequence, message.events);
        }
    }
    message.events = {};
}

void Replay::recordEjections(Router &router)
{
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        const bool isEjected = router.strategy->isEjected(static_cast<EngineIndex>(engine));
        if (isEjected == router.isEjected[engine]) {
            continue;
        }
        router.isEjected[engine] = isEjected;
        if (!isEjected || !engines_[engine].isUp) {
            continue;
        }
        if (engines_[engine].speed < 1) {
            ++result_.detections;
            result_.detectionSeconds += now_ - slowSince_;
        } else {
            ++result_.falseEjections;
        }
    }
}

void Replay::onTick(const Event &event)
{
    recordEjections(routers_[event.subject]);
    dispatch(routers_[event.subject]);
    if (now_ < trace_.seconds + cooldownSeconds) {
        schedule(now_ + tickIntervalSeconds, EventKind::Tick, event.subject);
    }
}

void Replay::refuse(std::uint32_t index)
{
    const TraceRequest &request = trace_.requests[index];
    progress_[index].state = State::Done;
    if (!isMeasured(request)) {
        return;
    }
    ++result_.refused;
    allFirstTokens_.push_back(request.deadline);
    if (trace_.isWithinCapacity) {
        ++result_.wronglyRefused;
    }
}

void Replay::makeChains(std::uint32_t index)
{
    const TraceRequest &request = trace_.requests[index];
    std::vector<BlockHash> digests;
    for (const TraceSegment &segment : request.prefix) {
        for (std::uint32_t block = 0; block < segment.blocks; ++block) {
            digests.push_back((static_cast<BlockHash>(segment.id) << 16U) | block);
        }
    }
    const std::string salt = std::to_string(request.team);
    const std::string model = std::to_string(request.model);
    chainBlocks(prefixSeed({salt, model, "1"}), digests, progress_[index].chains[0]);
    chainBlocks(prefixSeed({salt, model, "2"}), digests, progress_[index].chains[1]);
}

PlacementRequest Replay::placementRequest(std::uint32_t index)
{
    const auto isInService = [this](std::uint32_t version) {
        return std::any_of(engines_.begin(), engines_.end(), [version](const EngineModel &engine) { return engine.version == version; });
    };
    chainScratch_.clear();
    for (std::uint32_t version = 1; version <= 2; ++version) {
        if (isInService(version)) {
            chainScratch_.push_back({version, progress_[index].chains[version - 1]});
        }
    }
    return {.chains = chainScratch_, .promptTokens = trace_.requests[index].promptTokens, .excluded = progress_[index].excluded};
}

bool Replay::isMeasured(const TraceRequest &request) const
{
    return request.arrival >= warmUpFraction * trace_.seconds && request.team != trace_.floodingTeam;
}

/// The fair share of a team is the tokens that it requested or, if not all requests could be served, its max-min fair share of the
/// served tokens.
double Replay::worstTeamShare() const
{
    double left = std::accumulate(servedTokens_.begin(), servedTokens_.end(), 0.0);
    std::vector<std::size_t> teams;
    for (std::size_t team = 0; team < requestedTokens_.size(); ++team) {
        if (requestedTokens_[team] > 0) {
            teams.push_back(team);
        }
    }
    std::sort(teams.begin(), teams.end(), [this](std::size_t first, std::size_t second) { return requestedTokens_[first] < requestedTokens_[second]; });
    double worst = 1;
    std::size_t waiting = teams.size();
    for (const std::size_t team : teams) {
        const double entitled = std::min(requestedTokens_[team], left / static_cast<double>(waiting));
        left -= entitled;
        --waiting;
        worst = std::min(worst, servedTokens_[team] / entitled);
    }
    return worst;
}

ReplayResult Replay::summarize() const
{
    ReplayResult result = result_;
    result.requests = trace_.requests.size();
    result.worstTeamShare = worstTeamShare();
    for (const TraceRequest &request : trace_.requests) {
        result.inRateRequests += !isMeasured(request) ? 0 : static_cast<std::size_t>(trace_.isWithinCapacity);
    }
    result.detectionSeconds /= std::max<double>(1, static_cast<double>(result.detections));
    result.hitRate = promptTokens_ > 0 ? cachedTokens_ / promptTokens_ : 0;
    result.p50FirstToken = quantile(allFirstTokens_, 0.5);
    result.p99FirstToken = quantile(allFirstTokens_, 0.99);
    result.p99ServedFirstToken = quantile(firstTokens_, 0.99);
    result.goodput = goodTokens_ / (trace_.seconds * (1 - warmUpFraction));
    for (const EngineModel &engine : engines_) {
        result.busyFraction += engine.busySeconds / trace_.seconds / engineCount;
    }
    return result;
}

} // namespace Lovageloft
