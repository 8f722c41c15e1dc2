#include "decision/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace Lovageloft
{

namespace
{

/// Engines from the cache view that are weighed. More hold a hot prefix only where its rendezvous winners are more, too.
constexpr std::size_t holderLimit = 24;
constexpr std::size_t winnerLimit = 16;
/// Time to the first token that is neither wait nor prefill; keeps ratios of short requests from being mostly noise.
constexpr double fixedSeconds = 0.05;
/// An unanswered request says that its engine is stuck only once it is this late, in seconds and as a multiple.
constexpr double latenessSeconds = 1.0;
constexpr double latenessRatio = 3;
/// A request that is sent to find out about an ejected engine may be answered late, so it is a short one.
constexpr double mostProbeWork = 0.05;
constexpr double leastPressure = 0.01;
constexpr double longestReportGap = 5;
constexpr double slowestSpeed = 30;
constexpr double trustWeight = 0.05;
constexpr double leastTrust = 0.2;
constexpr double durationWeight = 0.05;
/// Longest prompt for which bytes between data centres are weighed: it keeps an engine busy for some 60 ms.
constexpr std::uint32_t localPromptTokens = 4'096;

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
    for (auto entry = indexOf_.begin(); entry != indexOf_.end();) {
        if (listed.contains(entry->first)) {
            ++entry;
            continue;
        }
        removeEngine(entry->second);
        entry = indexOf_.erase(entry);
    }
    bool hasRoom = true;
    for (const EngineStatus &status : engines) {
        auto entry = indexOf_.find(status.name);
        if (entry == indexOf_.end()) {
            const std::optional<EngineIndex> index = takeIndex();
            if (!index) {
                hasRoom = false;
                continue;
            }
            entry = indexOf_.emplace(std::string(status.name), *index).first;
        }
        updateEngine(entry->second, status);
    }
    health_.setEngineCount(indexOf_.size());
    rebuildVersions(engines);
    return hasRoom;
}

std::optional<EngineIndex> Placement::findEngine(std::string_view name) const
{
    const auto entry = indexOf_.find(name);
    return entry == indexOf_.end() ? std::nullopt : std::optional(entry->second);
}

std::string_view Placement::engineName(EngineIndex engine) const
{
    return engines_[engine].name;
}

void Placement::setWindowOpen(EngineIndex engine, bool isOpen)
{
    engines_[engine].isOpen = isOpen;
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
            considerChain(choice, version, random);
            if (!choice.best) {
                considerAll(choice, version);
            }
        }
    }
    if (!choice.best || choice.bestScore > choice.leastPrice + policy_.holdSlack / std::max(pressure(), leastPressure)) {
        reason = choice.sawServing ? Reason{ResultCode::Overloaded, "the engines that suit the request are busy"}
                                   : Reason{ResultCode::NoTarget, "no engine serves the model"};
        return std::nullopt;
    }
    if (choice.best->isProbe) {
        health_.noteProbe(choice.best->engine, now);
    }
    return choice.best;
}

void Placement::onDispatchedByPeer(EngineIndex index, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now)
{
    Engine &engine = engines_[index];
    engine.load.dispatched(now, workTokens * engine.prefillSecondsPerToken);
    view_.learn(index, blocks);
    noteSent(index, blocks, newTokens);
}

void Placement::noteSent(EngineIndex index, std::span<const BlockHash> shared, double newTokens)
{
    droppedScratch_.clear();
    engines_[index].cache.onSent(shared, newTokens, droppedScratch_);
    view_.drop(index, droppedScratch_);
}

DispatchId Placement::onDispatched(const PlacementRequest &request, const PlacementDecision &decision, TimePoint now)
{
    Engine &engine = engines_[decision.engine];
    const DispatchId id = dispatches_.open({.engine = decision.engine,
                                            .epoch = engine.epoch,
                                            .sentAt = now,
                                            .nominalFirstTokenSeconds = decision.nominalFirstTokenSeconds,
                                            .expectedCachedTokens = decision.expectedCachedTokens});
    ++engine.inFlight;
    engine.unanswered.push_back(id);
    engine.load.dispatched(now, decision.expectedWork);
    for (const VersionedChain &chain : request.chains) {
        if (chain.modelVersion != decision.modelVersion) {
            continue;
        }
        // Noted at once and not with the answer: the next request of the prefix may come before the first has its token.
        view_.learn(decision.engine, chain.blocks);
        const bool isQuiet = decision.workTokens < policy_.minAnnouncedTokens;
        noteSent(decision.engine, chain.blocks, decision.newTokens * (isQuiet ? policy_.hostCount : 1.0));
        const double outputWork = engine.requestSeconds / std::max(1.0, engine.batchLimit);
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
    dropAnswered(engine);
    health_.observe(dispatch->engine, (toSeconds(now - dispatch->sentAt) + fixedSeconds) / (dispatch->nominalFirstTokenSeconds + fixedSeconds), now);
    if (cachedTokens && dispatch->expectedCachedTokens > 0) {
        const double confirmed = std::min(1.0, static_cast<double>(*cachedTokens) / dispatch->expectedCachedTokens);
        engine.cacheTrust = std::max(leastTrust, engine.cacheTrust + trustWeight * (confirmed - engine.cacheTrust));
    }
}

void Placement::onFinished(DispatchId id, TimePoint now)
{
    Dispatch *dispatch = dispatches_.find(id);
    if (dispatch == nullptr) {
        return;
    }
    if (dispatch->isAnswered) {
        Engine &engine = engines_[dispatch->engine];
        engine.requestSeconds += durationWeight * (toSeconds(now - dispatch->firstTokenAt) - engine.requestSeconds);
    }
    close(*dispatch);
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
    close(*dispatch);
}

void Placement::onCancelled(DispatchId id)
{
    Dispatch *dispatch = dispatches_.find(id);
    if (dispatch != nullptr) {
        close(*dispatch);
    }
}

void Placement::onLoadReport(EngineIndex index, const LoadReport &report, TimePoint now)
{
    Engine &engine = engines_[index];
    if (!engine.isListed || report.incarnation < engine.incarnation) {
        return;
    }
    if (report.incarnation > engine.incarnation) {
        forgetCacheAndLoad(index, report.incarnation);
    }
    if (report.measuredAt <= engine.lastReport.measuredAt) {
        return;
    }
    observeSpeed(index, report, now);
    engine.lastReport = report;
    engine.load.report(std::min(report.measuredAt, now), report.queuedPrefillTokens * engine.prefillSecondsPerToken);
    setBacklog(engine, waitOf(engine, index, now));
}

void Placement::onCacheEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events)
{
    if (!engines_[engine].isListed) {
        return;
    }
    if (incarnation > engines_[engine].incarnation) {
        forgetCacheAndLoad(engine, incarnation);
    }
    view_.applyEvents(engine, incarnation, firstSequence, events);
}

void Placement::onCacheResync(EngineIndex engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks)
{
    if (engines_[engine].isListed) {
        view_.resync(engine, incarnation, nextSequence, blocks);
        engines_[engine].cacheTrust = 1;
    }
}

std::size_t Placement::inFlight(EngineIndex engine) const
{
    return engines_[engine].inFlight;
}

const EngineHealth &Placement::health() const
{
    return health_;
}

const CacheView &Placement::cacheView() const
{
    return view_;
}

std::optional<EngineIndex> Placement::takeIndex()
{
    if (engines_.size() < maxEngines) {
        engines_.emplace_back();
        return static_cast<EngineIndex>(engines_.size() - 1);
    }
    // Indexes are used again only when all were given out, and the one free for longest first: late events and answers that
    // still name the engine before it have then died out.
    if (freeIndexes_.empty()) {
        return std::nullopt;
    }
    const EngineIndex index = freeIndexes_.front();
    freeIndexes_.pop_front();
    return index;
}

void Placement::updateEngine(EngineIndex index, const EngineStatus &status)
{
    Engine &engine = engines_[index];
    const bool hasNewWeights = engine.isListed && engine.modelVersion != status.modelVersion;
    engine.name = status.name;
    engine.isListed = true;
    engine.isServing = status.isServing;
    engine.isRemote = status.isRemote;
    engine.firstTokenDeadline = status.firstTokenDeadline;
    engine.modelVersion = status.modelVersion;
    engine.prefillSecondsPerToken = 1 / std::max(1.0, status.prefillTokensPerSecond);
    engine.batchLimit = status.batchLimit;
    engine.cache.setCapacity(status.cacheTokens);
    if (status.incarnation > engine.incarnation) {
        forgetCacheAndLoad(index, status.incarnation);
    } else if (hasNewWeights) {
        view_.removeEngine(index);
        view_.setIncarnation(index, engine.incarnation);
        engine.cache.clear();
    }
}

void Placement::removeEngine(EngineIndex index)
{
    view_.removeEngine(index);
    health_.reset(index);
    setBacklog(engines_[index], 0);
    const std::uint32_t epoch = engines_[index].epoch;
    engines_[index] = Engine{.epoch = epoch + 1};
    freeIndexes_.push_back(index);
}

void Placement::setBacklog(Engine &engine, double backlog)
{
    totalBacklog_ += backlog - engine.reportedBacklog;
    engine.reportedBacklog = backlog;
}

/// Mean wait in seconds over all engines: what a second of prefill costs those behind it.
double Placement::pressure() const
{
    return std::max(0.0, totalBacklog_) / std::max<double>(1, static_cast<double>(indexOf_.size()));
}

/// Price of a second of prefill against one of wait.
double Placement::workPrice(double margin) const
{
    return policy_.recomputeWeight + policy_.pressureWeight * pressure() + margin;
}

void Placement::forgetCacheAndLoad(EngineIndex index, std::uint64_t incarnation)
{
    Engine &engine = engines_[index];
    engine.incarnation = incarnation;
    engine.load.clear();
    engine.lastReport = {};
    setBacklog(engine, 0);
    engine.cacheTrust = 1;
    engine.unanswered.clear();
    engine.cache.clear();
    view_.setIncarnation(index, incarnation);
    health_.reset(index);
}

void Placement::rebuildVersions(std::span<const EngineStatus> engines)
{
    versions_.clear();
    for (const EngineStatus &status : engines) {
        const std::optional<EngineIndex> index = findEngine(status.name);
        if (!index || !status.isServing || status.weight <= 0) {
            continue;
        }
        auto version = std::find_if(versions_.begin(), versions_.end(), [&status](const Version &known) { return known.id == status.modelVersion; });
        if (version == versions_.end()) {
            versions_.push_back({.id = status.modelVersion, .nodes = {}, .localNodes = {}});
            version = std::prev(versions_.end());
        }
        version->nodes.push_back({.engine = *index, .id = rendezvousId(status.name), .inverseWeight = static_cast<float>(1 / status.weight)});
        if (!status.isRemote) {
            version->localNodes.push_back(version->nodes.back());
        }
    }
}

void Placement::considerChain(Choice &choice, const Version &version, Random &random)
{
    const std::span<const BlockHash> blocks = choice.chain->blocks;
    std::array<HeldPrefix, holderLimit> holders;
    const std::size_t holderCount = view_.findHolders(blocks, holders);
    for (const HeldPrefix &holder : std::span(holders).first(holderCount)) {
        heldScratch_[holder.engine] = holder.blocks;
    }
    const PrefixRoute route = heat_.route(blocks, choice.now);
    if (route.level > 0) {
        const bool isLocal = belongsLocally(*choice.request, *choice.chain, version);
        considerWinners(choice, isLocal ? version.localNodes : version.nodes, route);
    }
    for (const HeldPrefix &holder : std::span(holders).first(holderCount)) {
        if (engines_[holder.engine].modelVersion == version.id) {
            consider(choice, holder.engine, holder.blocks, workPrice(policy_.strayMargin));
        }
    }
    for (std::size_t i = 0; i < policy_.randomCandidates; ++i) {
        // Every other draw is from this data centre, which else would seldom be seen idle.
        const bool isLocal = i % 2 == 1 && !version.localNodes.empty();
        const std::vector<RendezvousNode> &nodes = isLocal ? version.localNodes : version.nodes;
        const EngineIndex engine = nodes[randomBelow(random, nodes.size())].engine;
        consider(choice, engine, heldScratch_[engine], workPrice(policy_.strayMargin));
    }
    for (const HeldPrefix &holder : std::span(holders).first(holderCount)) {
        heldScratch_[holder.engine] = 0;
    }
}

void Placement::considerWinners(Choice &choice, std::span<const RendezvousNode> nodes, const PrefixRoute &route)
{
    std::array<EngineIndex, winnerLimit> winners;
    const std::size_t count = rendezvousWinners(choice.chain->blocks[route.level - 1], nodes, std::span(winners).first(route.candidates));
    for (std::size_t rank = 0; rank < count; ++rank) {
        // A copy that the heat calls for serves the many that come after, so this request is charged its own time only.
        const bool isCalledFor = route.needed > 1 && rank < route.needed;
        consider(choice, winners[rank], heldScratch_[winners[rank]], workPrice(isCalledFor ? policy_.copyMargin : rank == 0 ? 0 : policy_.secondMargin));
    }
}

/// What sending the request to another data centre is worth in seconds of wait. A long prompt goes where it is begun soonest: kept in its
/// data centre, it finds a third or a quarter of the engines and waits behind others, and two in a hundred of the longest came late.
double Placement::crossingPrice(const PlacementRequest &request) const
{
    constexpr double bytesInPrice = 1'000;
    if (request.promptTokens > localPromptTokens) {
        return 0;
    }
    return policy_.remoteWaitPerKilobyte * static_cast<double>(request.bytes) / bytesInPrice;
}

/// Whether each data centre gets an engine of its own for the prompt's shared part: where computing that part there once more costs less
/// than sending the prompts across. Long shared parts belong to one engine of the whole fleet.
bool Placement::belongsLocally(const PlacementRequest &request, const VersionedChain &chain, const Version &version) const
{
    if (version.localNodes.empty()) {
        return false;
    }
    const Engine &any = engines_[version.localNodes.front().engine];
    const double sharedTokens = static_cast<double>(chain.blocks.size()) * policy_.blockTokens;
    return prefillSeconds(any, 0, sharedTokens) < crossingPrice(request);
}

void Placement::considerAll(Choice &choice, const Version &version)
{
    for (const RendezvousNode &node : version.nodes) {
        consider(choice, node.engine, 0, workPrice(policy_.fallbackMargin));
    }
}

void Placement::consider(Choice &choice, EngineIndex index, std::size_t heldBlocks, double workPrice)
{
    const Engine &engine = engines_[index];
    if (!engine.isServing) {
        return;
    }
    const PlacementRequest &request = *choice.request;
    const double held = std::min<double>(request.promptTokens, static_cast<double>(heldBlocks) * policy_.blockTokens) * engine.cacheTrust;
    const double work = prefillSeconds(engine, held, request.promptTokens - held);
    const double usualWait = engine.load.wait(choice.now) + slotWaitOf(engine);
    const double wait = waitOf(engine, index, choice.now);
    const double slowWork = health_.slowness(index) * work;
    if (!beginsInTime(engine, wait + slowWork, choice.now)) {
        return;
    }
    choice.sawServing = true;
    if (!isUsable(choice, index)) {
        return;
    }
    const bool isProbe = health_.isEjected(index);
    if (isProbe && (work > mostProbeWork || !canBegin(engine, usualWait))) {
        return;
    }
    const double score = isProbe ? -1 : wait + workPrice * slowWork + (engine.isRemote ? crossingPrice(request) : 0);
    choice.leastPrice = choice.sawUsable ? std::min(choice.leastPrice, score) : score;
    choice.sawUsable = true;
    if (!(isProbe || canBegin(engine, wait)) || (choice.best && score >= choice.bestScore)) {
        return;
    }
    choice.bestScore = score;
    choice.best = PlacementDecision{.engine = index,
                                    .modelVersion = engine.modelVersion,
                                    .expectedCachedTokens = static_cast<std::uint32_t>(held),
                                    .expectedFirstTokenSeconds = wait + slowWork,
                                    .expectedWork = work,
                                    .workTokens = static_cast<std::uint32_t>(work / engine.prefillSecondsPerToken),
                                    .newTokens = request.promptTokens - static_cast<std::uint32_t>(held) + request.outputTokens,
                                    .nominalFirstTokenSeconds = usualWait + work,
                                    .isProbe = isProbe};
}

bool Placement::isUsable(const Choice &choice, EngineIndex index) const
{
    const std::span<const EngineIndex> excluded = choice.request->excluded;
    if (std::find(excluded.begin(), excluded.end(), index) != excluded.end()) {
        return false;
    }
    return !health_.isEjected(index) || health_.isProbeDue(index, choice.now);
}

/// Made for saturation. What waits inside an engine can't be given up, reordered between teams or sent elsewhere, so it waits here
/// once an engine has a few seconds of work. It isn't sent to an engine without its prefix instead: when all are busy, each
/// prefix computed twice takes capacity from all, more waits for it, and the fleet does little else even after the rush.
/// A prompt of 90,000 tokens takes an engine three times as long as its length alone tells. Reckoned by length, other hosts and
/// requests come to that engine while it is busy for seconds.
double Placement::prefillSeconds(const Engine &engine, double held, double missed) const
{
    const double meanContext = held + missed / 2;
    const double attention = policy_.attentionParityTokens > 0 ? meanContext / policy_.attentionParityTokens : 0;
    return missed * engine.prefillSecondsPerToken * (1 + attention);
}

bool Placement::canBegin(const Engine &engine, double wait) const
{
    return wait <= (engine.isOpen ? policy_.openWait : policy_.closedWait);
}

/// Whether a request whose first token is expected in `firstToken` seconds may go to an engine that is used until a certain time only.
/// A request begins with its first token: long, or sent behind long ones, it would begin on weights that may not be used any more,
/// and its caller get an answer from them. An engine left out here counts as not serving, so that a request that no other engine can
/// take is refused at once.
bool Placement::beginsInTime(const Engine &engine, double firstToken, TimePoint now) const
{
    return !engine.firstTokenDeadline || now + fromSeconds(policy_.firstTokenSafetyFactor * firstToken) < *engine.firstTokenDeadline;
}

/// Expected seconds until the engine would begin with a prompt sent now.
double Placement::waitOf(const Engine &engine, EngineIndex index, TimePoint now) const
{
    return health_.slowness(index) * (engine.load.wait(now) + slotWaitOf(engine)) + latenessOf(engine, now);
}

/// Seconds until a place in the engine's batch is free for a prompt sent now. Other hosts are taken to have sent as many since the
/// report as this one: with its own alone each host would fill the engine that looked freest, all at the same time.
double Placement::slotWaitOf(const Engine &engine) const
{
    const LoadReport &report = engine.lastReport;
    const double sent = static_cast<double>(std::min(engine.load.sentSinceReport(), engine.inFlight)) * policy_.hostCount;
    const double behind = report.waitingRequests + sent + report.runningRequests - engine.batchLimit;
    return std::max(0.0, behind) * engine.requestSeconds / std::max(1.0, engine.batchLimit);
}

/// By how many seconds the oldest unanswered request is late. An engine that has stopped answering gives no ratios at all and
/// would else look idle; what is late by some time may well take as long again, so that is added to the wait.
double Placement::latenessOf(const Engine &engine, TimePoint now) const
{
    const Dispatch *oldest = engine.unanswered.empty() ? nullptr : dispatches_.find(engine.unanswered.front());
    if (oldest == nullptr) {
        return 0;
    }
    const double late = toSeconds(now - oldest->sentAt) - oldest->nominalFirstTokenSeconds;
    return late > latenessSeconds && late > latenessRatio * oldest->nominalFirstTokenSeconds ? late : 0;
}

/// An engine's own progress shows within a second or two that it has become slow, to all hosts. From answers alone each host would
/// need several of its own to come back late, and 370 hosts send one engine a request every few seconds each.
void Placement::observeSpeed(EngineIndex index, const LoadReport &report, TimePoint now)
{
    const Engine &engine = engines_[index];
    const LoadReport &before = engine.lastReport;
    const double elapsed = toSeconds(report.measuredAt - before.measuredAt);
    const bool wasBusy = before.queuedPrefillTokens > 0 && report.queuedPrefillTokens > 0 && elapsed < longestReportGap;
    if (!wasBusy || before.computedPrefillTokens <= 0 || report.computedPrefillTokens < before.computedPrefillTokens) {
        return;
    }
    const double computedSeconds = (report.computedPrefillTokens - before.computedPrefillTokens) * engine.prefillSecondsPerToken;
    health_.observe(index, elapsed / std::max(computedSeconds, elapsed / slowestSpeed), now);
}

void Placement::close(const Dispatch &dispatch)
{
    Engine &engine = engines_[dispatch.engine];
    const bool isSameEngine = engine.epoch == dispatch.epoch;
    dispatches_.close(dispatch.id);
    if (isSameEngine) {
        --engine.inFlight;
        dropAnswered(engine);
    }
}

void Placement::dropAnswered(Engine &engine)
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
