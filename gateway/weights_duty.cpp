#include "gateway/weights_duty.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/log.h"
#include "decision/rendezvous.h"
#include "drivers/http_connection.h"
#include "gateway/parallel_calls.h"

namespace Lovageloft
{

namespace
{

/// Timeout of one call to an engine. Engines respond within milliseconds; one that does not must not delay the renewal of the lease.
constexpr Duration callTimeout = std::chrono::milliseconds(250);

constexpr Duration leaderStepPause = std::chrono::milliseconds(50);
constexpr Duration followerStepPause = std::chrono::milliseconds(250);

/// Size limit of a status report: an engine lists its models with their adapters, and some hundred requests.
constexpr std::size_t maxReportBytes = 262'144;

constexpr int statusOk = 200;

/// Maximum number of parallel calls to engines.
constexpr std::size_t maxParallelCalls = 16;

/// Hosts that try to become leader in ranked order before any others do.
constexpr std::size_t maxRankedHosts = 8;

/// Whether an engine reports newer weights than those that it is to load.
bool hasNewerWeights(const EngineReport &report, const Order &order)
{
    return std::any_of(report.models.begin(), report.models.end(), [&order](const ServedModel &model) {
        return order.kind == OrderKind::LoadWeights && model.name == order.model && model.version > std::stoll(order.value);
    });
}

std::vector<ModelState> modelStates(std::span<const ServedModel> models)
{
    std::vector<ModelState> states;
    for (const ServedModel &model : models) {
        states.push_back({model.name, std::to_string(model.version), {}});
    }
    return states;
}

} // namespace

WeightsDuty::WeightsDuty(Store &store, const EngineControlFormat &format, Options options)
    : store_(store)
    , format_(format)
    , options_(std::move(options))
    , lease_(store_, options_.leaderKey, options_.holder, options_.lease)
    , scheduler_(options_.orders)
    , records_(store_, options_.recordsPrefix, recentWeightsPeriod(options_.deadline))
    , candidacy_(Random(std::random_device{}()))
    , currentTargets_(targets_)
{
}

void WeightsDuty::setTargets(std::shared_ptr<const TargetMap> targets)
{
    const std::lock_guard lock(mutex_);
    targets_ = std::move(targets);
    hasChanged_ = true;
}

void WeightsDuty::setPublishedWeights(const std::vector<PublishedWeights> &weights)
{
    const std::lock_guard lock(mutex_);
    for (const PublishedWeights &newest : weights) {
        published_.insert_or_assign(newest.model, newest);
    }
    hasChanged_ = true;
}

void WeightsDuty::onOrderByOther(const std::string &targetId)
{
    const std::lock_guard lock(mutex_);
    orderedByOthers_.push_back(targetId);
}

void WeightsDuty::setLeader(const std::string &host)
{
    const std::lock_guard lock(mutex_);
    candidacy_.setLeader(host, BootClock::now());
}

void WeightsDuty::setHosts(const std::vector<std::string> &candidates, std::size_t hosts)
{
    const std::vector<std::string> ranked = RendezvousNames(candidates).winners("leader", maxRankedHosts);
    const auto position = std::find(ranked.begin(), ranked.end(), options_.holderName);
    const auto rank = position != ranked.end() ? std::optional(static_cast<std::size_t>(position - ranked.begin())) : std::nullopt;
    const std::lock_guard lock(mutex_);
    candidacy_.setRank(rank, hosts, BootClock::now());
}

void WeightsDuty::run()
{
    while (!isStopped()) {
        step();
        sleepFor(lease_.isHeld(BootClock::now()) ? leaderStepPause : followerStepPause);
    }
    lease_.release(BootClock::now());
    leaseUntil_ = TimePoint{};
    stepLease();
}

void WeightsDuty::setCanOrder(bool canOrder)
{
    canOrder_ = canOrder;
}

void WeightsDuty::step()
{
    if (!canOrder_) {
        resign();
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (candidacy_.isDue(BootClock::now())) {
            hasPolledLease_ = true;
            lease_.pollNow(BootClock::now());
        }
    }
    stepLease();
    logLeadershipChange(BootClock::now());
    updateDesired();
    const OrderPlan plan = scheduler_.plan(lease_, BootClock::now());
    if (plan.isSuperseded) {
        writeLog(LogLevel::Warning, "leadership_superseded", {{"token", lease_.token()}});
        lease_.release(BootClock::now());
        return;
    }
    for (const LoadNotice &notice : plan.loadNotices) {
        options_.beforeLoad(notice);
    }
    callEngines(std::span(plan.orders), &WeightsDuty::sendOrder, &WeightsDuty::onOrderSent);
    callEngines(std::span(plan.reads), &WeightsDuty::readState, &WeightsDuty::onStateRead);
    recordPublished();
}

/// Releases the lease if it is held, so that a host that reaches the engines takes over.
void WeightsDuty::resign()
{
    const bool wasHeld = lease_.isHeld(BootClock::now());
    lease_.release(BootClock::now());
    if (wasHeld) {
        stepLease();
    }
    logLeadershipChange(BootClock::now());
}

void WeightsDuty::stepLease()
{
    if (hasPolledLease_) {
        lease_.step(BootClock::now());
    }
    leaseUntil_ = lease_.heldUntil();
}

TimePoint WeightsDuty::leaseUntil() const
{
    return leaseUntil_;
}

void WeightsDuty::recordPublished()
{
    std::map<std::string, PublishedWeights> published;
    {
        const std::lock_guard lock(mutex_);
        published = published_;
    }
    for (const auto &[model, weights] : published) {
        if (lease_.isHeld(BootClock::now())) {
            records_.record(weights, BootClock::now());
            lease_.step(BootClock::now());
        }
    }
}

void WeightsDuty::updateDesired()
{
    std::map<std::string, PublishedWeights> published;
    {
        const std::lock_guard lock(mutex_);
        for (const std::string &target : std::exchange(orderedByOthers_, {})) {
            scheduler_.onOrderByOther(target, BootClock::now());
        }
        if (!hasChanged_) {
            return;
        }
        hasChanged_ = false;
        currentTargets_ = targets_;
        published = published_;
    }
    std::vector<DesiredEngine> desired;
    for (const auto &[id, target] : *currentTargets_) {
        DesiredEngine engine = desiredEngine(target, published);
        if (!engine.state.models.empty()) {
            desired.push_back(std::move(engine));
        }
    }
    scheduler_.setDesired(desired, BootClock::now());
}

/// The published weights of the target's models; no models if it is leaving or none of them has published weights.
DesiredEngine WeightsDuty::desiredEngine(const Target &target, const std::map<std::string, PublishedWeights> &published) const
{
    DesiredEngine engine;
    engine.target = target.id;
    engine.checksFencing = options_.enginesCheckFencing;
    engine.announced = EngineState{modelStates(target.models), {}, false};
    for (const ServedModel &model : target.models) {
        const auto newest = published.find(model.name);
        // A version above the published one was published as well: versions only rise.
        if (target.isLeaving || newest == published.end() || model.version > newest->second.version) {
            continue;
        }
        const TimePoint dueAt = newest->second.publishedAt + olderWeightsGracePeriod(options_.deadline);
        engine.state.models.push_back({model.name, std::to_string(newest->second.version), {}, dueAt});
    }
    return engine;
}

/// Renews the lease between batches. A batch takes at most a few call timeouts.
template <typename Item, typename Result>
void WeightsDuty::callEngines(std::span<const Item> items,
                              Result (WeightsDuty::*call)(const Item &) const,
                              void (WeightsDuty::*onResult)(const Item &, const Result &))
{
    while (!items.empty()) {
        const std::span<const Item> batch = items.first(std::min(items.size(), maxParallelCalls));
        std::vector<Result> results(batch.size());
        callInParallel(batch.size(), [&](std::size_t i) { results[i] = (this->*call)(batch[i]); });
        for (std::size_t i = 0; i < batch.size(); ++i) {
            (this->*onResult)(batch[i], results[i]);
        }
        lease_.step(BootClock::now());
        items = items.subspan(batch.size());
    }
}

void WeightsDuty::onOrderSent(const Order &order, const SentOrder &sent)
{
    writeLog(LogLevel::Info,
             "order_given",
             {{"target", order.target},
              {"model", order.model},
              {"value", order.value},
              {"token", order.fencingToken},
              {"status", std::int64_t{sent.status}},
              {"accepted_before", sent.acceptedBefore}});
    scheduler_.onOutcome(order, sent.outcome, BootClock::now());
}

void WeightsDuty::onStateRead(const std::string &targetId, const std::optional<EngineState> &state)
{
    if (state) {
        scheduler_.onState(targetId, *state, BootClock::now());
    }
}

std::optional<EngineState> WeightsDuty::readState(const std::string &targetId) const
{
    const auto target = currentTargets_->find(targetId);
    const auto found = target != currentTargets_->end() ? fetchReport(target->second) : std::nullopt;
    if (!found || found->models.empty()) {
        return std::nullopt;
    }
    return EngineState{modelStates(found->models), {}, found->isBusy};
}

WeightsDuty::SentOrder WeightsDuty::sendOrder(const Order &order) const
{
    SentOrder sent;
    const auto target = currentTargets_->find(order.target);
    const auto before = target != currentTargets_->end() ? fetchReport(target->second) : std::nullopt;
    if (!before) {
        return sent;
    }
    sent.acceptedBefore = before->ordersAccepted;
    if (before->isBusy || hasNewerWeights(*before, order) || !scheduler_.maySend(order, lease_, BootClock::now())) {
        return sent;
    }
    const auto connection = HttpConnection::open(target->second.address, callTimeout);
    options_.beforeLoad({order.target, order.model});
    if (connection == nullptr || !scheduler_.maySend(order, lease_, BootClock::now())) {
        return sent;
    }
    const HttpField expected = format_.expectedTargetField(order.target);
    const std::string body = format_.writeOrder(order, options_.holderName, before->ordersAccepted);
    const auto answer = connection->call("POST", format_.orderPath(), body, BootClock::now() + callTimeout, {maxShortBodyBytes, {&expected, 1}});
    if (answer) {
        sent.status = answer->status;
        sent.outcome = format_.outcomeOf(answer->status);
    }
    return sent;
}

std::optional<EngineReport> WeightsDuty::fetchReport(const Target &target) const
{
    const auto connection = HttpConnection::open(target.address, callTimeout);
    if (connection == nullptr) {
        return std::nullopt;
    }
    const HttpField expected = format_.expectedTargetField(target.id);
    const auto answer = connection->call("GET", format_.reportPath(), {}, BootClock::now() + callTimeout, {maxReportBytes, {&expected, 1}});
    return answer && answer->status == statusOk ? format_.parseReport(answer->body) : std::nullopt;
}

void WeightsDuty::logLeadershipChange(TimePoint now)
{
    const bool isHeld = lease_.isHeld(now);
    if (isHeld != wasLeader_) {
        wasLeader_ = isHeld;
        writeLog(LogLevel::Info, isHeld ? "leadership_taken" : "leadership_lost", {{"token", lease_.token()}});
    }
}

} // namespace Lovageloft
