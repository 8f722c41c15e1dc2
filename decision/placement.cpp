#include "decision/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace Lovageloft
{

namespace
{

/// Holders of a prefix that are evaluated. A prefix is held by more engines only if it is hot and has more rendezvous winners as well.
constexpr std::size_t maxHolderCandidates = 24;
constexpr std::size_t maxWinnerCandidates = 16;
/// Part of the time to the first token that is neither wait nor prefill; without it the ratios of short requests would be mostly noise.
constexpr double fixedOverheadSeconds = 0.05;
/// An unanswered request counts as overdue only above both limits: seconds late and multiple of the expected time.
constexpr double minOverdueSeconds = 1.0;
constexpr double minOverdueRatio = 3;
/// Maximum prefill time of a probe request; probes are short as their answers may come late.
constexpr double maxProbePrefillSeconds = 0.05;
constexpr double minMeanWait = 0.01;
constexpr double maxReportGapSeconds = 5;
constexpr double maxReportRatio = 30;
constexpr double cacheConfidenceWeight = 0.05;
constexpr double minCacheConfidence = 0.2;
constexpr double generationSecondsWeight = 0.05;
/// Prompts above this length have no remote cost. A prompt of this length keeps an engine busy for some 60 ms.
constexpr std::uint32_t maxRemoteCostPromptTokens = 4'096;

} // namespace

Placement::Placement(const PlacementPolicy &policy)
    : policy_(policy)
    , view_(policy.cacheViewBlocks)
    , heat_(policy.splitLoad)
    , heldScratch_(maxEngines)
{
}

bool Placement::setEngines(std::span<const EngineStatus> engines)
{
    std::set<std::string_view> listed;
    for (const EngineStatus &status : engines) {
        listed.insert(status.name);
    }
    for (auto entry = indexByName_.begin(); entry != indexByName_.end();) {
        if (listed.contains(entry->first)) {
            ++entry;
            continue;
        }
        removeEngine(entry->second);
        entry = indexByName_.erase(entry);
    }
    bool hasRoom = true;
    for (const EngineStatus &status : engines) {
        auto entry = indexByName_.find(status.name);
        if (entry == indexByName_.end()) {
            const std::optional<EngineIndex> index = allocateIndex();
            if (!index) {
                hasRoom = false;
                continue;
            }
            entry = indexByName_.emplace(std::string(status.name), *index).first;
        }
        updateEngine(entry->second, status);
    }
    health_.setEngineCount(indexByName_.size());
    rebuildVersions(engines);
    return hasRoom;
}

std::optional<EngineIndex> Placement::findEngine(std::string_view name) const
{
    const auto entry = indexByName_.find(name);
    return entry == indexByName_.end() ? std::nullopt : std::optional(entry->second);
}

std::string_view Placement::engineName(EngineIndex engine) const
{
    return engines_[engine].name;
}

void Placement::setHostCount(std::size_t count)
{
    policy_.hostCount = static_cast<double>(std::max<std::size_t>(1, count));
    health_.setHostCount(count);
}

std::uint32_t Placement::expectedMissedTokens(const PlacementRequest &request) const
{
    std::size_t held = 0;
    for (const VersionedChain &chain : request.chains) {
        std::array<HeldPrefix, 1> longest;
        if (view_.findHolders(chain.blocks, longest) > 0) {
            held = std::max<std::size_t>(held, longest.front().blocks);
        }
    }
    return request.promptTokens - std::min(request.promptTokens, static_cast<std::uint32_t>(held) * policy_.blockTokens);
}

std::optional<PlacementDecision> Placement::place(const PlacementRequest &request, TimePoint now, Random &random, Reason &reason)
{
    Choice choice{.request = &request, .now = now};
    for (const VersionedChain &chain : request.chains) {
        for (const Version &version : versions_) {
            if (version.id != chain.modelVersion) {
                continue;
            }
            choice.chain = &chain;
            AdaptiveGroup *group = findGroup(version.group);
            if (group != nullptr) {
                updateGroup(*group, now);
            }
            choice.group = group;
            evaluateChain(choice, version, random);
            if (choice.ranking.isEmpty()) {
                evaluateAllEngines(choice, version);
            }
        }
    }
    preferredWithoutPermit_ = choice.ranking.preferredWithoutPermit();
    if (choice.ranking.isEmpty() || choice.ranking.excessCost() > policy_.holdSlack / std::max(meanWait(), minMeanWait)) {
        reason = choice.foundServing ? Reason{ResultCode::Overloaded, "the engines that suit the request are busy"}
                                     : Reason{ResultCode::NoTarget, "no engine serves the model"};
        return std::nullopt;
    }
    const PlacementDecision best = choice.ranking.best();
    if (best.isProbe) {
        health_.onProbeSent(best.engine, now);
    }
    return best;
}

void Placement::onDispatchedByPeer(EngineIndex index, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now)
{
    Engine &engine = engines_[index];
    const double prefillSeconds = workTokens * engine.prefillSecondsPerToken;
    engine.load.addDispatched(now, prefillSeconds);
    addWork(engine, PromptClass::Long, prefillSeconds, 1, now);
    view_.addBlocks(index, blocks);
    recordSent(index, blocks, newTokens);
}

void Placement::recordSent(EngineIndex index, std::span<const BlockHash> shared, double newTokens)
{
    evictedScratch_.clear();
    engines_[index].cache.onSent(shared, newTokens, evictedScratch_);
    view_.removeBlocks(index, evictedScratch_);
}

DispatchId Placement::onDispatched(const PlacementRequest &request, const PlacementDecision &decision, TimePoint now)
{
    Engine &engine = engines_[decision.engine];
    const DispatchId id = dispatches_.open(
        {.engine = decision.engine,
         .epoch = engine.epoch,
         .sentAt = now,
         .nominalFirstTokenSeconds = decision.nominalFirstTokenSeconds,
         .expectedCachedTokens = decision.expectedCachedTokens,
         .group = engine.group,
         .work = {static_cast<double>(request.promptTokens) - decision.expectedCachedTokens, static_cast<double>(decision.expectedCachedTokens)},
         .expectedWaitSeconds = decision.expectedWaitSeconds,
         .promptClass = classOf(request)});
    // Short prompts are not announced: each other host is assumed to send as many of them.
    const double count = decision.workTokens >= policy_.minAnnouncedTokens ? 1 : policy_.hostCount;
    addWork(engine, classOf(request), decision.expectedPrefillSeconds, count, now);
    ++engine.inFlight;
    engine.unanswered.push_back(id);
    engine.load.addDispatched(now, decision.expectedPrefillSeconds);
    for (const VersionedChain &chain : request.chains) {
        if (chain.modelVersion != decision.modelVersion) {
            continue;
        }
        // Recorded now and not with the answer: the next request for the prefix may arrive before this one has its first token.
        view_.addBlocks(decision.engine, chain.blocks);
        const bool isQuiet = decision.workTokens < policy_.minAnnouncedTokens;
        recordSent(decision.engine, chain.blocks, decision.newTokens * (isQuiet ? policy_.hostCount : 1.0));
        const double outputWork = engine.generationSeconds / std::max(1.0, engine.batchLimit);
        const std::size_t tailTokens = request.promptTokens - std::min<std::size_t>(request.promptTokens, chain.blocks.size() * policy_.blockTokens);
        const double tailWork = static_cast<double>(tailTokens) * engine.prefillSecondsPerToken;
        heat_.add(chain.blocks, (tailWork + outputWork) * policy_.hostCount, now);
    }
    return id;
}

void Placement::onFirstToken(DispatchId id, std::optional<std::uint32_t> cachedTokens, TimePoint now)
{
    Dispatch *dispatch = dispatches_.find(id);
    if (dispatch == nullptr || dispatch->isAnswered) {
        return;
    }
    dispatch->isAnswered = true;
    dispatch->firstTokenAt = now;
    Engine &engine = engines_[dispatch->engine];
    if (engine.epoch != dispatch->epoch) {
        return;
    }
    removeAnswered(engine);
    if (AdaptiveGroup *group = findGroup(dispatch->group)) {
        group->times.observe(dispatch->work, toSeconds(now - dispatch->sentAt), dispatch->expectedWaitSeconds, engine.pace.pace(now), now);
    }
    health_.observe(
        dispatch->engine, (toSeconds(now - dispatch->sentAt) + fixedOverheadSeconds) / (dispatch->nominalFirstTokenSeconds + fixedOverheadSeconds), now);
    if (cachedTokens && dispatch->expectedCachedTokens > 0) {
        const double confirmed = std::min(1.0, static_cast<double>(*cachedTokens) / dispatch->expectedCachedTokens);
        engine.cacheConfidence = std::max(minCacheConfidence, engine.cacheConfidence + cacheConfidenceWeight * (confirmed - engine.cacheConfidence));
    }
}

void Placement::onFinished(DispatchId id, TimePoint now)
{
    Dispatch *dispatch = dispatches_.find(id);
    if (dispatch == nullptr) {
        return;
    }
    if (dispatch->isAnswered) {
        const double seconds = toSeconds(now - dispatch->firstTokenAt);
        Engine &engine = engines_[dispatch->engine];
        engine.generationSeconds += generationSecondsWeight * (seconds - engine.generationSeconds);
        if (AdaptiveGroup *group = findGroup(dispatch->group)) {
            double &mean = group->generationSeconds.at(static_cast<std::size_t>(dispatch->promptClass));
            mean += generationSecondsWeight * (seconds - mean);
        }
    }
    closeDispatch(*dispatch);
}

void Placement::onFailed(DispatchId id, TimePoint now)
{
    Dispatch *dispatch = dispatches_.find(id);
    if (dispatch == nullptr) {
        return;
    }
    if (engines_[dispatch->engine].epoch == dispatch->epoch) {
        health_.observeFailure(dispatch->engine, now);
    }
    closeDispatch(*dispatch);
}

void Placement::onCancelled(DispatchId id)
{
    Dispatch *dispatch = dispatches_.find(id);
    if (dispatch != nullptr) {
        closeDispatch(*dispatch);
    }
}

void Placement::onDeclined(DispatchId id, std::span<const BlockHash> addedBlocks)
{
    const Dispatch *dispatch = dispatches_.find(id);
    if (dispatch == nullptr) {
        return;
    }
    if (engines_[dispatch->engine].epoch == dispatch->epoch) {
        view_.removeBlocks(dispatch->engine, addedBlocks);
    }
    closeDispatch(*dispatch);
}

void Placement::onLoadReport(EngineIndex index, const LoadReport &report, TimePoint now)
{
    Engine &engine = engines_[index];
    if (!engine.isListed || report.incarnation < engine.incarnation) {
        return;
    }
    if (report.incarnation > engine.incarnation) {
        clearCacheAndLoad(index, report.incarnation);
    }
    if (report.measuredAt <= engine.lastReport.measuredAt) {
        return;
    }
    observeSpeed(index, report, now);
    engine.lastReport = report;
    engine.load.applyReport(std::min(report.measuredAt, now), report.queuedPrefillTokens * engine.prefillSecondsPerToken);
    setBacklog(engine, engineWait(engine, index, now));
}

void Placement::onCacheEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events)
{
    if (!engines_[engine].isListed) {
        return;
    }
    if (incarnation > engines_[engine].incarnation) {
        clearCacheAndLoad(engine, incarnation);
    }
    view_.applyEvents(engine, incarnation, firstSequence, events);
}

void Placement::onCacheResync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks)
{
    if (engines_[engine].isListed) {
        view_.resync(engine, incarnation, nextSequence, blocks);
        engines_[engine].cacheConfidence = 1;
    }
}

void Placement::setBacklog(Engine &engine, double backlog)
{
    totalBacklog_ += backlog - engine.reportedBacklog;
    engine.reportedBacklog = backlog;
}

/// Returns the mean wait over all engines in seconds, a measure of how many requests a second of prefill delays.
double Placement::meanWait() const
{
    return std::max(0.0, totalBacklog_) / std::max<double>(1, static_cast<double>(indexByName_.size()));
}

/// Returns the cost of a second of prefill relative to a second of wait.
double Placement::prefillWeight(double margin) const
{
    return policy_.recomputeWeight + policy_.meanWaitWeight * meanWait() + margin;
}

void Placement::clearCacheAndLoad(EngineIndex index, std::uint64_t incarnation)
{
    Engine &engine = engines_[index];
    engine.incarnation = incarnation;
    engine.load.clear();
    engine.lastReport = {};
    setBacklog(engine, 0);
    engine.cacheConfidence = 1;
    engine.unanswered.clear();
    engine.cache.clear();
    view_.setIncarnation(index, incarnation);
    health_.reset(index);
}

PromptClass Placement::classOf(const PlacementRequest &request) const
{
    return isLong(request.promptTokens) ? PromptClass::Long : PromptClass::Short;
}

void Placement::evaluateChain(Choice &choice, const Version &version, Random &random)
{
    const std::span<const BlockHash> blocks = choice.chain->blocks;
    std::array<HeldPrefix, maxHolderCandidates> holders;
    const std::size_t holderCount = view_.findHolders(blocks, holders);
    for (const HeldPrefix &holder : std::span(holders).first(holderCount)) {
        heldScratch_[holder.engine] = holder.blocks;
    }
    const PrefixRoute route = heat_.route(blocks, choice.now);
    if (route.level > 0) {
        const bool isLocal = usesLocalWinners(*choice.request, *choice.chain, version);
        evaluateWinners(choice, isLocal ? version.localNodes : version.nodes, route);
    }
    for (const HeldPrefix &holder : std::span(holders).first(holderCount)) {
        if (engines_[holder.engine].modelVersion == version.id) {
            evaluateEngine(choice, holder.engine, holder.blocks, prefillWeight(policy_.nonWinnerMargin));
        }
    }
    for (std::size_t i = 0; i < policy_.randomCandidates; ++i) {
        // Every other sample is from this data centre; otherwise idle engines there would rarely be found.
        const bool isLocal = i % 2 == 1 && !version.localNodes.empty();
        const std::span<const RendezvousNode> nodes = drawnNodes(choice, isLocal ? version.localNodes : version.nodes);
        const EngineIndex engine = nodes[randomBelow(random, nodes.size())].engine;
        evaluateEngine(choice, engine, heldScratch_[engine], prefillWeight(policy_.nonWinnerMargin));
    }
    for (const HeldPrefix &holder : std::span(holders).first(holderCount)) {
        heldScratch_[holder.engine] = 0;
    }
}

void Placement::evaluateWinners(Choice &choice, std::span<const RendezvousNode> nodes, const PrefixRoute &route)
{
    std::array<EngineIndex, maxWinnerCandidates> winners;
    const std::size_t count = rendezvousWinners(choice.chain->blocks[route.level - 1], nodes, std::span(winners).first(route.candidates));
    for (std::size_t rank = 0; rank < count; ++rank) {
        // Many later requests reuse a copy that the prefix's load requires, so only this request's own prefill time counts.
        const bool isNeededReplica = route.replicas > 1 && rank < route.replicas;
        evaluateEngine(choice,
                       winners[rank],
                       heldScratch_[winners[rank]],
                       prefillWeight(isNeededReplica ? policy_.replicaMargin
                                         : rank == 0 ? 0
                                                     : policy_.laterWinnerMargin));
    }
}

/// Returns the cost of sending the request to another data centre, in seconds of wait. It is 0 for long prompts, which go where they start soonest: limited to
/// one data centre, they have only a third or a quarter of the engines and wait behind others, and 2% of the longest came late.
double Placement::remoteCost(const PlacementRequest &request) const
{
    constexpr double bytesPerKilobyte = 1'000;
    if (request.promptTokens > maxRemoteCostPromptTokens) {
        return 0;
    }
    return policy_.remoteWaitPerKilobyte * static_cast<double>(request.bytes) / bytesPerKilobyte;
}

/// Returns whether each data centre has its own rendezvous winners for the prompt's shared prefix. That is the case if computing the
/// prefix once more costs less than sending the prompt to another data centre; long prefixes have winners of the whole fleet.
bool Placement::usesLocalWinners(const PlacementRequest &request, const VersionedChain &chain, const Version &version) const
{
    if (version.localNodes.empty()) {
        return false;
    }
    const Engine &any = engines_[version.localNodes.front().engine];
    const double sharedTokens = static_cast<double>(chain.blocks.size()) * policy_.blockTokens;
    return prefillSeconds(any, 0, sharedTokens) < remoteCost(request);
}

void Placement::evaluateAllEngines(Choice &choice, const Version &version)
{
    for (const RendezvousNode &node : version.nodes) {
        evaluateEngine(choice, node.engine, 0, prefillWeight(policy_.fallbackMargin));
    }
}

void Placement::evaluateEngine(Choice &choice, EngineIndex index, std::size_t heldBlocks, double prefillWeight)
{
    const Engine &engine = engines_[index];
    if (!engine.isServing) {
        return;
    }
    const PlacementRequest &request = *choice.request;
    const double held = std::min<double>(request.promptTokens, static_cast<double>(heldBlocks) * policy_.blockTokens) * engine.cacheConfidence;
    const double nominalPrefill = prefillSeconds(engine, held, request.promptTokens - held);
    const double nominalWait = engine.load.queueWait(choice.now) + batchSlotWait(engine);
    const double wait = engineWait(engine, index, choice.now);
    const double fixedSeconds = choice.group != nullptr ? choice.group->times.coefficients().fixedSeconds : 0;
    const double slowedPrefill = health_.slowdownFactor(index) * engine.pace.pace(choice.now) * nominalPrefill;
    if (!beginsInTime(engine, wait + slowedPrefill, choice.now)) {
        return;
    }
    choice.foundServing = true;
    if (!isUsable(choice, index)) {
        return;
    }
    const bool isProbe = health_.isEjected(index);
    if (isProbe && (nominalPrefill > maxProbePrefillSeconds || !isWaitAcceptable(engine, nominalWait))) {
        return;
    }
    if (isKeptFree(choice, engine)) {
        return;
    }
    const bool isForClass = choice.group == nullptr || choice.group->partition.serves(engine.position, classOf(request));
    const double cost =
        isProbe ? -1 : wait + prefillWeight * slowedPrefill + (engine.isRemote ? remoteCost(request) : 0) + (isForClass ? 0 : policy_.otherClassCost);
    choice.ranking.addUsable(cost + engine.permitWait);
    if (!(isProbe || isWaitAcceptable(engine, wait))) {
        return;
    }
    if (engine.permitWait > 0) {
        choice.ranking.addWithoutPermit(index, cost, engine.permitWait);
        return;
    }
    const PlacementDecision candidate{.engine = index,
                                      .modelVersion = engine.modelVersion,
                                      .expectedCachedTokens = static_cast<std::uint32_t>(held),
                                      .expectedFirstTokenSeconds = wait + slowedPrefill + fixedSeconds,
                                      .expectedWaitSeconds = wait,
                                      .expectedPrefillSeconds = nominalPrefill,
                                      .workTokens = static_cast<std::uint32_t>(nominalPrefill / engine.prefillSecondsPerToken),
                                      .newTokens = request.promptTokens - static_cast<std::uint32_t>(held) + request.outputTokens,
                                      .nominalFirstTokenSeconds = nominalWait + nominalPrefill + fixedSeconds,
                                      .isProbe = isProbe};
    choice.ranking.add(candidate, cost);
}

bool Placement::isUsable(const Choice &choice, EngineIndex index) const
{
    const std::span<const EngineIndex> excluded = choice.request->excluded;
    if (std::find(excluded.begin(), excluded.end(), index) != excluded.end()) {
        return false;
    }
    return !health_.isEjected(index) || health_.isProbeDue(index, choice.now);
}

/// Returns the expected prefill time. Includes the cost of attention: a prompt of 90,000 tokens takes three times as long as its
/// length alone suggests, and an estimate by length would let hosts send requests to an engine that is busy for seconds.
double Placement::prefillSeconds(const Engine &engine, double held, double missed) const
{
    if (const AdaptiveGroup *group = adaptiveGroup(engine.group)) {
        return group->times.computeSeconds({missed, held});
    }
    const double meanContext = held + missed / 2;
    const double attention = policy_.attentionParityTokens > 0 ? meanContext / policy_.attentionParityTokens : 0;
    return missed * engine.prefillSecondsPerToken * (1 + attention);
}

/// Returns whether an engine with this expected wait may get a request. At saturation requests wait in this host's queue once an engine has a few seconds of
/// work: those in an engine can't be given up, reordered between teams or sent elsewhere. They aren't sent to an engine without their prefix either: when all
/// are busy, each prefix computed twice takes capacity from all requests, queues grow, and the fleet does little but recompute prefixes even after the peak.
bool Placement::isWaitAcceptable(const Engine &engine, double wait) const
{
    return wait <= (engine.isWindowOpen ? policy_.maxWaitWindowOpen : policy_.maxWaitWindowFull);
}

/// Returns whether a request whose first token is expected in `firstToken` seconds fits before the engine's deadline. A long request, or one behind long ones,
/// could otherwise start after the deadline, and its caller would get an answer from weights that may no longer be used. An engine that is rejected here counts
/// as not serving, so a request that no other engine can take is refused at once.
bool Placement::beginsInTime(const Engine &engine, double firstToken, TimePoint now) const
{
    return !engine.firstTokenDeadline || now + fromSeconds(policy_.firstTokenSafetyFactor * firstToken) < *engine.firstTokenDeadline;
}

/// Returns the expected seconds until the engine starts a prompt sent now.
double Placement::engineWait(const Engine &engine, EngineIndex index, TimePoint now) const
{
    return health_.slowdownFactor(index) * engine.pace.pace(now) * (engine.load.queueWait(now) + batchSlotWait(engine)) + overdueSeconds(engine, now);
}

/// Returns the seconds until the engine's batch has a free slot for a prompt sent now. Each other host is assumed to have sent as many requests since the last
/// report as this one; if hosts counted only their own, all would fill the least loaded engine at the same time.
double Placement::batchSlotWait(const Engine &engine) const
{
    const LoadReport &report = engine.lastReport;
    const double sent = static_cast<double>(std::min(engine.load.sentSinceReport(), engine.inFlight)) * policy_.hostCount;
    const double behind = report.waitingRequests + sent + report.runningRequests - engine.batchLimit;
    return std::max(0.0, behind) * engine.generationSeconds / std::max(1.0, engine.batchLimit);
}

/// Returns by how many seconds the oldest unanswered request is overdue, or 0. An engine that has stopped answering produces no
/// observations and would otherwise look idle. The overdue time is added to the wait, as it may well take as long again.
double Placement::overdueSeconds(const Engine &engine, TimePoint now) const
{
    const Dispatch *oldest = engine.unanswered.empty() ? nullptr : dispatches_.find(engine.unanswered.front());
    if (oldest == nullptr) {
        return 0;
    }
    const double overdue = toSeconds(now - oldest->sentAt) - oldest->nominalFirstTokenSeconds;
    return overdue > minOverdueSeconds && overdue > minOverdueRatio * oldest->nominalFirstTokenSeconds ? overdue : 0;
}

/// Compares the prompt tokens that the engine computed between two reports with its nominal speed. This shows a slow engine to all hosts within a second or
/// two. From answers alone each host would need several late ones of its own, and each of 370 hosts sends an engine only one request every few seconds.
void Placement::observeSpeed(EngineIndex index, const LoadReport &report, TimePoint now)
{
    const Engine &engine = engines_[index];
    const LoadReport &before = engine.lastReport;
    const double elapsed = toSeconds(report.measuredAt - before.measuredAt);
    const bool wasBusy = before.queuedPrefillTokens > 0 && report.queuedPrefillTokens > 0 && elapsed < maxReportGapSeconds;
    if (!wasBusy || before.computedPrefillTokens <= 0 || report.computedPrefillTokens < before.computedPrefillTokens) {
        return;
    }
    const double computedSeconds = (report.computedPrefillTokens - before.computedPrefillTokens) * engine.prefillSecondsPerToken;
    health_.observe(index, elapsed / std::max(computedSeconds, elapsed / maxReportRatio), now);
}

void Placement::closeDispatch(const Dispatch &dispatch)
{
    Engine &engine = engines_[dispatch.engine];
    const bool isSameEngine = engine.epoch == dispatch.epoch;
    dispatches_.close(dispatch.id);
    if (isSameEngine) {
        --engine.inFlight;
        removeAnswered(engine);
    }
}

void Placement::removeAnswered(Engine &engine)
{
    while (!engine.unanswered.empty()) {
        const Dispatch *oldest = dispatches_.find(engine.unanswered.front());
        if (oldest != nullptr && !oldest->isAnswered) {
            return;
        }
        engine.unanswered.pop_front();
    }
}

} // namespace Lovageloft
