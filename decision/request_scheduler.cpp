#include "decision/request_scheduler.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Retry-After if no engine serves the model: about the time that an engine takes to restart or reload.
constexpr std::chrono::seconds noTargetRetryAfter{1};
/// Retry-After if the retry budget is spent: about when a burst of failures no longer fills the budget's window.
constexpr std::chrono::seconds retryBudgetRetryAfter{2};

/// Over which requests with permits are counted.
constexpr std::chrono::seconds permitUseTime{2};

std::vector<BlockHash> announcedBlocks(std::span<const BlockHash> chain, std::span<const std::uint32_t> partEnds)
{
    if (partEnds.empty()) {
        return {chain.begin(), chain.end()};
    }
    std::vector<BlockHash> blocks;
    for (const std::uint32_t end : partEnds) {
        if (end > 0 && end <= chain.size()) {
            blocks.push_back(chain[end - 1]);
        }
    }
    return blocks;
}

} // namespace

RequestScheduler::RequestScheduler(const QueueLimits &limits, const PlacementPolicy &policy)
    : blockTokens_(policy.blockTokens)
    , queue_(limits)
    , placement_(policy)
{
}

void RequestScheduler::setEngines(std::span<const SchedulerEngine> engines)
{
    std::vector<EngineStatus> statuses;
    versions_.clear();
    for (const SchedulerEngine &engine : engines) {
        EngineStatus status;
        status.name = engine.name;
        status.modelVersion = modelVersions_.idOf(engine.model + '\n' + engine.pool + '\n' + engine.weightsVersion);
        status.group = static_cast<EngineGroup>(poolOf(engine.model, engine.pool));
        groupModels_.try_emplace(status.group, engine.pool.empty() ? engine.model : engine.model + ' ' + engine.pool);
        status.incarnation = engine.incarnation;
        status.isServing = engine.isServing;
        status.isRemote = engine.isRemote;
        status.firstTokenDeadline = engine.firstTokenDeadline;
        status.prefillTokensPerSecond = engine.prefillTokensPerSecond;
        status.batchLimit = engine.batchLimit;
        status.cacheTokens = engine.cacheTokens;
        statuses.push_back(status);
        std::vector<Version> &versions = versions_[poolOf(engine.model, engine.pool)];
        if (std::none_of(versions.begin(), versions.end(), [&status](const Version &version) { return version.id == status.modelVersion; })) {
            versions.push_back({status.modelVersion, engine.weightsVersion});
        }
    }
    placement_.setEngines(statuses);
    for (const SchedulerEngine &engine : engines) {
        if (engine.isAdaptive) {
            placement_.enableAdaptation(static_cast<EngineGroup>(poolOf(engine.model, engine.pool)));
        }
    }
    std::map<EngineIndex, Engine> kept;
    for (const SchedulerEngine &engine : engines) {
        const auto index = placement_.findEngine(engine.name);
        if (!index) {
            continue;
        }
        Engine &entry = kept[*index];
        const auto previous = engines_.find(*index);
        if (previous != engines_.end()) {
            entry = previous->second;
        } else {
            entry.generation = ++lastGeneration_;
        }
        if (entry.incarnation != 0 && engine.incarnation != 0 && engine.incarnation != entry.incarnation) {
            entry.window.reset();
        }
        entry.target = engine.target;
        entry.softwareVersion = engine.softwareVersion;
        entry.model = poolOf(engine.model, engine.pool);
        entry.incarnation = engine.incarnation != 0 ? engine.incarnation : entry.incarnation;
        entry.isServing = engine.isServing;
        entry.restUntil = engine.restUntil;
    }
    scaleQueues(kept);
    engines_ = std::move(kept);
}

/// Scales the service rate of each model to the new number of serving engines. With the old rate the queue would admit requests that
/// expire later.
void RequestScheduler::scaleQueues(const std::map<EngineIndex, Engine> &updated)
{
    std::map<ModelId, std::pair<double, double>> counts;
    for (const auto &[index, engine] : engines_) {
        counts[engine.model].first += engine.isServing ? 1 : 0;
    }
    for (const auto &[index, engine] : updated) {
        counts[engine.model].second += engine.isServing ? 1 : 0;
    }
    for (const auto &[model, count] : counts) {
        if (count.first > 0 && count.second > 0 && count.first != count.second) {
            queue_.scaleCapacity(model, count.second / count.first);
        }
    }
}

void RequestScheduler::setTeamWeight(std::string_view team, double weight)
{
    queue_.setWeight(teams_.idOf(team), weight);
}

void RequestScheduler::setHostCount(std::size_t count)
{
    placement_.setHostCount(count);
    hostCount_ = std::max<std::size_t>(count, 1);
}

void RequestScheduler::setRetryLimits(const RetryBudget::Limits &limits)
{
    retryLimits_ = limits;
}

std::optional<SchedulerRefusal> RequestScheduler::submit(SchedulerRequest request, TimePoint now)
{
    const RequestId id = request.id;
    if (auto refusal = checkRetry(request, now)) {
        return refusal;
    }
    const ModelId pool = poolOf(request.model, request.pool);
    if (auto refusal = checkPermits(request, pool, now)) {
        return refusal;
    }
    QueuedRequest queued;
    queued.id = id;
    queued.team = teams_.idOf(request.team);
    queued.key = keys_.idOf(request.team + '\n' + request.keyId);
    queued.model = queueOf(request, pool);
    queued.priority = request.priority;
    queued.cost = static_cast<std::int64_t>(placement_.expectedMissedTokens(placementRequest(request))) + request.outputTokens;
    queued.deadline = request.deadline;
    queued.fingerprint = request.fingerprint;
    queued.isRetry = request.isRetry;
    const AdmissionDecision decision = queue_.offer(queued, now);
    if (!decision.isAdmitted) {
        return refuse(id, decision.reason, decision.retryAfter);
    }
    requests_.emplace(id, std::move(request));
    return std::nullopt;
}

RetryBudget &RequestScheduler::budgetOf(ModelId model)
{
    RetryBudget &budget = retryBudgets_[model];
    budget.setLimits(retryLimits_);
    return budget;
}

std::optional<SchedulerRefusal> RequestScheduler::checkRetry(const SchedulerRequest &request, TimePoint now)
{
    RetryBudget &budget = budgetOf(models_.idOf(request.model));
    if (request.failedEngines.empty()) {
        budget.onRequest(now);
        return std::nullopt;
    }
    if (request.isResume) {
        // A stream that has begun is resumed without using the budget: it would be cut off otherwise, and there are at most as many
        // such streams as were running when the engine failed.
        return std::nullopt;
    }
    Reason reason;
    if (request.reachedTarget && !budget.tryAcquire(now, reason)) {
        return refuse(request.id, reason, retryBudgetRetryAfter);
    }
    return std::nullopt;
}

void RequestScheduler::cancel(RequestId id, TimePoint now)
{
    queue_.cancel(id, now);
    requests_.erase(id);
}

std::vector<SchedulerOutcome> RequestScheduler::withdrawKey(std::string_view team, std::string_view keyId, TimePoint now)
{
    std::vector<SchedulerOutcome> outcomes;
    const KeyId key = keys_.idOf(std::string(team) + '\n' + std::string(keyId));
    for (const QueuedRequest &request : queue_.removeByKey(teams_.idOf(team), key, now)) {
        outcomes.emplace_back(refuse(request.id, {ResultCode::KeyWithdrawn, {}}, {}));
    }
    return outcomes;
}

std::vector<SchedulerOutcome> RequestScheduler::decide(TimePoint now, Random &random)
{
    std::vector<SchedulerOutcome> outcomes;
    for (ExpiredRequest &expired : queue_.expire(now)) {
        outcomes.emplace_back(refuse(expired.request.id, std::move(expired.reason), expired.retryAfter));
    }
    Choice choice;
    while (const auto queued = queue_.next(now, [&](const QueuedRequest &next) { return choose(next, now, random, choice); })) {
        outcomes.push_back(assign(*queued, now, choice));
    }
    return outcomes;
}

std::optional<TimePoint> RequestScheduler::nextDeadline() const
{
    return queue_.nextDeadline();
}

void RequestScheduler::drain()
{
    queue_.drain();
}

/// Whether a request can leave its queue now, either to an engine or to be refused because no engine will be able to serve it.
bool RequestScheduler::choose(const QueuedRequest &queued, TimePoint now, Random &random, Choice &choice)
{
    choice = {};
    const auto found = requests_.find(queued.id);
    if (found == requests_.end()) {
        return true;
    }
    const SchedulerRequest &request = found->second;
    const ModelId pool = poolOf(request.model, request.pool);
    const PlacementRequest toPlace = placementRequest(request);
    for (auto &[index, engine] : engines_) {
        if (engine.model == pool) {
            placement_.setWindowOpen(index, engine.window.canStart(1));
        }
    }
    updatePermitWaits(pool, now);
    choice.engine = placement_.place(toPlace, now, random, choice.reason);
    if (hadLimits_) {
        wantPermits(choice.engine.has_value(), now);
    }
    if (choice.engine) {
        return true;
    }
    if (hadLimits_ && choice.reason.code == ResultCode::Overloaded && refuseWithoutPermits(request, pool, now, choice)) {
        return true;
    }
    const auto canTakeLater = [&](const auto &entry) {
        const auto &[index, engine] = entry;
        return engine.isServing && isEligible(engine, pool, request.softwareVersion)
            && std::find(toPlace.excluded.begin(), toPlace.excluded.end(), index) == toPlace.excluded.end();
    };
    // A bound request waits only for engines that can take it.
    if (request.softwareVersion && std::none_of(engines_.begin(), engines_.end(), canTakeLater)) {
        choice.reason = {ResultCode::NoTarget, "no engine of the version that began the stream is left"};
        return true;
    }
    // A retry that can go anywhere does not wait: the request has failed at other engines already.
    const bool isFreeRetry = !request.failedEngines.empty() && !request.softwareVersion;
    return choice.reason.code != ResultCode::Overloaded || isFreeRetry;
}

/// Whether the engine can take requests of a pool, or those that are bound to a software version.
bool RequestScheduler::isEligible(const Engine &engine, ModelId pool, const std::optional<std::string> &softwareVersion)
{
    return engine.model == pool && (!softwareVersion || engine.softwareVersion == *softwareVersion);
}

/// The queue of a request. Where engines are divided, long prompts have one of their own, so that short ones don't wait behind them for engines that are for
/// long prompts only. Requests that are bound to a version have one of their own, so that neither they nor others wait for engines that
/// can't take them, and leave it first: few engines can take them.
ModelId RequestScheduler::queueOf(const SchedulerRequest &request, ModelId pool)
{
    if (!request.softwareVersion) {
        const bool isSeparate = placement_.adaptiveGroup(static_cast<EngineGroup>(pool)) != nullptr && placement_.isLong(request.promptTokens);
        return isSeparate ? models_.idOf(request.model + '\n' + request.pool + "\nlong") : pool;
    }
    const ModelId queue = models_.idOf(request.model + '\n' + request.pool + '\n' + *request.softwareVersion);
    queue_.setPreferred(queue);
    if (queue_.backlog(queue) == 0) {
        double all = 0;
        double eligible = 0;
        for (const auto &[index, engine] : engines_) {
            all += isEligible(engine, pool, std::nullopt) ? 1 : 0;
            eligible += isEligible(engine, pool, request.softwareVersion) ? 1 : 0;
        }
        if (eligible > 0) {
            queue_.scaleCapacity(queue, queue_.serviceRate(pool) * eligible / all / queue_.serviceRate(queue));
        }
    }
    return queue;
}

/// The id of the engines that serve a model in a pool.
ModelId RequestScheduler::poolOf(const std::string &model, const std::string &pool)
{
    return models_.idOf(pool.empty() ? model : model + '\n' + pool);
}

std::span<const VersionedChain> RequestScheduler::chainsOf(const SchedulerRequest &request)
{
    const std::vector<Version> &versions = versions_[poolOf(request.model, request.pool)];
    blockScratch_.resize(std::max(blockScratch_.size(), versions.size()));
    chainScratch_.clear();
    for (std::size_t i = 0; i < versions.size(); ++i) {
        chainBlocks(prefixSeed({request.cacheSalt, request.model, versions[i].weights}), request.blockDigests, blockScratch_[i]);
        chainScratch_.push_back({versions[i].id, blockScratch_[i]});
    }
    return chainScratch_;
}

/// The views in the result are valid until the next call.
PlacementRequest RequestScheduler::placementRequest(const SchedulerRequest &request)
{
    failedScratch_.clear();
    for (const std::string &name : request.failedEngines) {
        if (const auto index = placement_.findEngine(name)) {
            failedScratch_.push_back(*index);
        }
    }
    if (request.softwareVersion) {
        const ModelId pool = poolOf(request.model, request.pool);
        for (const auto &[index, engine] : engines_) {
            if (engine.model == pool && !isEligible(engine, pool, request.softwareVersion)) {
                failedScratch_.push_back(index);
            }
        }
    }
    PlacementRequest toPlace{chainsOf(request), request.promptTokens};
    toPlace.outputTokens = request.outputTokens;
    toPlace.bytes = request.bytes;
    toPlace.excluded = failedScratch_;
    return toPlace;
}

SchedulerOutcome RequestScheduler::assign(const QueuedRequest &queued, TimePoint now, const Choice &choice)
{
    const auto found = requests_.find(queued.id);
    if (choice.retryAfter > Duration::zero()) {
        return refuse(queued.id, choice.reason, choice.retryAfter);
    }
    if (found == requests_.end()) {
        return refuse(queued.id, {ResultCode::NoTarget, {}}, noTargetRetryAfter);
    }
    if (!choice.engine) {
        const auto rest = restTimeLeft(found->second, now);
        return refuse(queued.id, {ResultCode::NoTarget, rest ? "all targets have asked for rest" : ""}, rest.value_or(noTargetRetryAfter));
    }
    const PlacementDecision &decision = *choice.engine;
    const PlacementRequest toPlace = placementRequest(found->second);
    const std::int64_t missed = std::max<std::int64_t>(1, std::int64_t{toPlace.promptTokens} - decision.expectedCachedTokens);
    const DispatchId dispatch = placement_.onDispatched(toPlace, decision, now);
    Engine &engine = engines_[decision.engine];
    const auto slot = permits_ != nullptr ? permits_->use(engine.target, now) : std::nullopt;
    if (slot) {
        permitUse_.try_emplace(engine.model, permitUseTime).first->second.add(now);
    }
    InFlight &inFlight = inFlight_[queued.id];
    inFlight = {
        dispatch, decision.engine, engine.generation, engine.window.start(missed, now), {}, found->second.softwareVersion, engine.target, slot.value_or(0)};
    SchedulerAssignment assignment{queued.id, std::string(placement_.engineName(decision.engine))};
    assignment.expectedCachedTokens = decision.expectedCachedTokens;
    assignment.expectedFirstTokenSeconds = decision.expectedFirstTokenSeconds;
    assignment.workTokens = decision.workTokens;
    assignment.newTokens = decision.newTokens;
    assignment.usesPermit = slot.has_value();
    if (decision.alternative) {
        assignment.alternative = placement_.engineName(decision.alternative->engine);
        assignment.alternativeFirstTokenSeconds = decision.alternative->expectedFirstTokenSeconds;
    }
    for (const VersionedChain &chain : toPlace.chains) {
        if (chain.modelVersion == decision.modelVersion) {
            assignment.blocks.assign(chain.blocks.begin(), chain.blocks.end());
            assignment.announcedBlocks = announcedBlocks(chain.blocks, found->second.partEnds);
            inFlight.addedBlocks.assign(chain.blocks.begin() + std::min<std::ptrdiff_t>(decision.expectedCachedTokens / blockTokens_, std::ssize(chain.blocks)),
                                        chain.blocks.end());
            assignment.holdsAllBlocks = decision.expectedCachedTokens >= chain.blocks.size() * blockTokens_;
            assignment.holders = findHolders(chain.blocks, decision);
        }
    }
    requests_.erase(found);
    return assignment;
}

std::vector<std::string> RequestScheduler::findHolders(std::span<const BlockHash> blocks, const PlacementDecision &decision) const
{
    std::vector<std::string> holders;
    constexpr std::size_t maxHolders = 4;
    std::array<HeldPrefix, maxHolders> found;
    const std::size_t count = placement_.cacheView().findHolders(blocks, found);
    for (const HeldPrefix &held : std::span(found).first(count)) {
        const auto engine = engines_.find(held.engine);
        const bool isUsable = engine != engines_.end() && engine->second.isServing && !placement_.health().isEjected(held.engine);
        if (held.engine != decision.engine && isUsable && held.blocks * blockTokens_ > decision.expectedCachedTokens) {
            holders.emplace_back(placement_.engineName(held.engine));
        }
    }
    return holders;
}

SchedulerRefusal RequestScheduler::refuse(RequestId id, Reason reason, Duration retryAfter)
{
    requests_.erase(id);
    return {id, std::move(reason), retryAfter};
}

void RequestScheduler::onDispatchedByPeer(
    std::string_view engine, std::uint32_t workTokens, std::uint32_t newTokens, std::span<const BlockHash> blocks, TimePoint now)
{
    if (const auto index = placement_.findEngine(engine)) {
        placement_.onDispatchedByPeer(*index, workTokens, newTokens, blocks, now);
    }
}

void RequestScheduler::onFirstToken(RequestId id, std::optional<std::uint32_t> cachedTokens, TimePoint now)
{
    const auto entry = inFlight_.find(id);
    if (entry == inFlight_.end()) {
        return;
    }
    placement_.onFirstToken(entry->second.dispatch, cachedTokens, now);
    if (Engine *engine = engineOf(entry->second)) {
        engine->window.onFirstToken(entry->second.window, now);
    }
}

void RequestScheduler::onEnded(RequestId id, DispatchResult end, TimePoint now)
{
    const auto entry = inFlight_.find(id);
    if (entry == inFlight_.end()) {
        return;
    }
    InFlight ended = entry->second;
    inFlight_.erase(entry);
    releaseSlot(ended, end, now);
    switch (end) {
    case DispatchResult::Finished:
        placement_.onFinished(ended.dispatch, now);
        break;
    case DispatchResult::Failed:
        placement_.onFailed(ended.dispatch, now);
        break;
    case DispatchResult::Declined:
        placement_.onDeclined(ended.dispatch, ended.addedBlocks);
        break;
    case DispatchResult::Cancelled:
        placement_.onCancelled(ended.dispatch);
        break;
    }
    Engine *engine = engineOf(ended);
    if (engine == nullptr) {
        return;
    }
    if (end == DispatchResult::Failed || end == DispatchResult::Declined) {
        engine->window.onFailed(ended.window, now);
    }
    engine->window.onFinished(ended.window, now);
}

bool RequestScheduler::canRetryElsewhere(RequestId id, TimePoint now)
{
    const auto entry = inFlight_.find(id);
    const Engine *current = entry != inFlight_.end() ? engineOf(entry->second) : nullptr;
    if (current == nullptr) {
        return true; // The engine was removed from the list, so no answer is expected from it, or the request has ended.
    }
    return budgetOf(current->model).canRetry(now) && std::any_of(engines_.begin(), engines_.end(), [&](const auto &item) {
               const Engine &engine = item.second;
               const bool isPermitted = permits_ == nullptr || permits_->wait(engine.target, now) == Duration::zero();
               return &engine != current && isEligible(engine, current->model, entry->second.softwareVersion) && engine.isServing && engine.window.canStart(1)
                   && isPermitted;
           });
}

void RequestScheduler::onEngineSilent(RequestId id, TimePoint now)
{
    const auto entry = inFlight_.find(id);
    if (Engine *engine = entry != inFlight_.end() ? engineOf(entry->second) : nullptr) {
        engine->window.onFailed(entry->second.window, now);
    }
}

/// Time until the first engine that can take the request ends its rest. Nothing if one serves, or none will.
std::optional<Duration> RequestScheduler::restTimeLeft(const SchedulerRequest &request, TimePoint now)
{
    const ModelId pool = poolOf(request.model, request.pool);
    std::optional<Duration> shortest;
    for (const auto &[index, engine] : engines_) {
        if (!isEligible(engine, pool, request.softwareVersion)) {
            continue;
        }
        if (engine.isServing) {
            return std::nullopt;
        }
        if (engine.restUntil) {
            const Duration left = std::max<Duration>(*engine.restUntil - now, std::chrono::milliseconds(1));
            shortest = std::min(shortest.value_or(left), left);
        }
    }
    return shortest;
}

RequestScheduler::Engine *RequestScheduler::engineOf(const InFlight &request)
{
    const auto engine = engines_.find(request.engine);
    return engine != engines_.end() && engine->second.generation == request.generation ? &engine->second : nullptr;
}

void RequestScheduler::onLoadReport(std::string_view engine, const LoadReport &report, TimePoint now)
{
    if (const auto index = placement_.findEngine(engine)) {
        placement_.onLoadReport(*index, report, now);
    }
}

void RequestScheduler::onCacheEvents(std::string_view engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events)
{
    if (const auto index = placement_.findEngine(engine)) {
        placement_.onCacheEvents(*index, incarnation, firstSequence, events);
    }
}

void RequestScheduler::onCacheResync(std::string_view engine, std::uint64_t incarnation, std::uint64_t nextSequence, std::span<const BlockHash> blocks)
{
    if (const auto index = placement_.findEngine(engine)) {
        placement_.onCacheResync(*index, incarnation, nextSequence, blocks);
    }
}

std::size_t RequestScheduler::waiting() const
{
    return requests_.size();
}

std::size_t RequestScheduler::inFlight() const
{
    return inFlight_.size();
}

std::size_t RequestScheduler::windowOf(std::string_view engine) const
{
    const auto index = placement_.findEngine(engine);
    const auto entry = index ? engines_.find(*index) : engines_.end();
    return entry == engines_.end() ? 0 : entry->second.window.size();
}

bool RequestScheduler::isEjected(std::string_view engine) const
{
    const auto index = placement_.findEngine(engine);
    return index && placement_.health().isEjected(*index);
}

} // namespace Lovageloft
