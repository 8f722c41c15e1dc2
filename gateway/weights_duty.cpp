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

/// Wait for one engine's answer. Engines are milliseconds away; a dark one must not hold up the renewal of the lease.
constexpr Duration callTimeout = std::chrono::milliseconds(250);

constexpr Duration leaderPause = std::chrono::milliseconds(50);
constexpr Duration followerPause = std::chrono::milliseconds(250);

constexpr int statusOk = 200;

/// Calls to engines that wait at the same time.
constexpr std::size_t callsAtOnce = 16;

/// Hosts that stand for leader in turn before others do.
constexpr std::size_t rankedHosts = 8;

} // namespace

WeightsDuty::WeightsDuty(Store &store, const EngineControlFormat &format, Options options)
    : store_(store)
    , format_(format)
    , options_(std::move(options))
    , lease_(store_, options_.leaderKey, options_.holder, options_.lease)
    , scheduler_(options_.orders)
    , records_(store_, options_.recordsPrefix, recentWeightsPeriod(options_.deadline))
    , candidacy_(Random(std::random_device{}()))
    , current_(targets_)
{
}

void WeightsDuty::setTargets(std::shared_ptr<const TargetMap> targets)
{
    const std::lock_guard lock(mutex_);
    targets_ = std::move(targets);
    isChanged_ = true;
}

void WeightsDuty::setPublishedWeights(const std::vector<PublishedWeights> &weights)
{
    const std::lock_guard lock(mutex_);
    for (const PublishedWeights &newest : weights) {
        named_.insert_or_assign(newest.model, newest);
    }
    isChanged_ = true;
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
    const std::vector<std::string> ranked = RendezvousNames(candidates).winners("leader", rankedHosts);
    const auto place = std::find(ranked.begin(), ranked.end(), options_.holderName);
    const auto rank = place != ranked.end() ? std::optional(static_cast<std::size_t>(place - ranked.begin())) : std::nullopt;
    const std::lock_guard lock(mutex_);
    candidacy_.setRank(rank, hosts, BootClock::now());
}

void WeightsDuty::run()
{
    while (!isStopped()) {
        step();
        pause(lease_.isHeld(BootClock::now()) ? leaderPause : followerPause);
    }
    lease_.release(BootClock::now());
    stepLease();
}

void WeightsDuty::step()
{
    {
        const std::lock_guard lock(mutex_);
        if (candidacy_.isDue(BootClock::now())) {
            hasStood_ = true;
            lease_.pollNow(BootClock::now());
        }
    }
    stepLease();
    noteLeadership(BootClock::now());
    updateWanted();
    const OrderPlan plan = scheduler_.plan(lease_, BootClock::now());
    if (plan.isSuperseded) {
        writeLog(LogLevel::Warning, "leadership_superseded", {{"token", lease_.token()}});
        lease_.release(BootClock::now());
        return;
    }
    for (const std::string &target : plan.loadNotices) {
        options_.beforeLoad(target);
    }
    callEngines(std::span(plan.orders), &WeightsDuty::send, &WeightsDuty::takeSent);
    callEngines(std::span(plan.reads), &WeightsDuty::read, &WeightsDuty::takeState);
    recordNamed();
}

void WeightsDuty::stepLease()
{
    if (hasStood_) {
        lease_.step(BootClock::now());
    }
}

void WeightsDuty::recordNamed()
{
    std::map<std::string, PublishedWeights> named;
    {
        const std::lock_guard lock(mutex_);
        named = named_;
    }
    for (const auto &[model, weights] : named) {
        if (lease_.isHeld(BootClock::now())) {
            records_.keep(weights, BootClock::now());
            lease_.step(BootClock::now());
        }
    }
}

void WeightsDuty::updateWanted()
{
    std::map<std::string, PublishedWeights> named;
    {
        const std::lock_guard lock(mutex_);
        for (const std::string &target : std::exchange(orderedByOthers_, {})) {
            scheduler_.onOrderByOther(target, BootClock::now());
        }
        if (!isChanged_) {
            return;
        }
        isChanged_ = false;
        current_ = targets_;
        named = named_;
    }
    std::vector<DesiredEngine> wanted;
    for (const auto &[id, target] : *current_) {
        for (const ServedModel &model : target.models) {
            const auto version = named.find(model.name);
            if (target.isLeaving || version == named.end()) {
                continue;
            }
            DesiredEngine engine;
            engine.target = id;
            engine.checksFencing = options_.enginesCheckFencing;
            engine.state.model = model.name;
            engine.state.weightsVersion = std::to_string(version->second.version);
            engine.dueAt = version->second.publishedAt + olderWeightsGracePeriod(options_.deadline);
            engine.announced = EngineState{model.name, std::to_string(model.version), {}, {}, false};
            wanted.push_back(std::move(engine));
        }
    }
    scheduler_.setDesired(wanted, BootClock::now());
}

/// The lease is renewed between batches, which take no longer than a few calls that nobody answers.
template <typename Item, typename Result>
void WeightsDuty::callEngines(std::span<const Item> items,
                              Result (WeightsDuty::*call)(const Item &) const,
                              void (WeightsDuty::*take)(const Item &, const Result &))
{
    while (!items.empty()) {
        const std::span<const Item> batch = items.first(std::min(items.size(), callsAtOnce));
        std::vector<Result> results(batch.size());
        callInParallel(batch.size(), [&](std::size_t i) { results[i] = (this->*call)(batch[i]); });
        for (std::size_t i = 0; i < batch.size(); ++i) {
            (this->*take)(batch[i], results[i]);
        }
        lease_.step(BootClock::now());
        items = items.subspan(batch.size());
    }
}

void WeightsDuty::takeSent(const Order &order, const SentOrder &sent)
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

void WeightsDuty::takeState(const std::string &targetId, const std::optional<EngineState> &state)
{
    if (state) {
        scheduler_.onState(targetId, *state, BootClock::now());
    }
}

std::optional<EngineState> WeightsDuty::read(const std::string &targetId) const
{
    const auto target = current_->find(targetId);
    const auto found = target != current_->end() ? report(target->second) : std::nullopt;
    if (!found || found->models.empty()) {
        return std::nullopt;
    }
    EngineState state;
    state.model = found->models.front().name;
    state.weightsVersion = std::to_string(found->models.front().version);
    state.isLoading = found->isBusy;
    return state;
}

WeightsDuty::SentOrder WeightsDuty::send(const Order &order) const
{
    SentOrder sent;
    const auto target = current_->find(order.target);
    const auto before = target != current_->end() ? report(target->second) : std::nullopt;
    if (!before) {
        return sent;
    }
    sent.acceptedBefore = before->ordersAccepted;
    if (before->isBusy || !scheduler_.maySend(order, lease_, BootClock::now())) {
        return sent;
    }
    const auto connection = HttpConnection::open(target->second.address, callTimeout);
    options_.beforeLoad(order.target);
    if (connection == nullptr || !scheduler_.maySend(order, lease_, BootClock::now())) {
        return sent;
    }
    const HttpField expected = format_.expectedTargetField(order.target);
    const std::string body = format_.writeOrder(order, options_.holderName, before->ordersAccepted);
    const auto answer = connection->call("POST", format_.orderPath(), body, BootClock::now() + callTimeout, {&expected, 1});
    if (answer) {
        sent.status = answer->status;
        sent.outcome = format_.outcomeOf(answer->status);
    }
    return sent;
}

std::optional<EngineReport> WeightsDuty::report(const Target &target) const
{
    const auto connection = HttpConnection::open(target.address, callTimeout);
    if (connection == nullptr) {
        return std::nullopt;
    }
    const HttpField expected = format_.expectedTargetField(target.id);
    const auto answer = connection->call("GET", format_.reportPath(), {}, BootClock::now() + callTimeout, {&expected, 1});
    return answer && answer->status == statusOk ? format_.parseReport(answer->body) : std::nullopt;
}

void WeightsDuty::noteLeadership(TimePoint now)
{
    const bool isHeld = lease_.isHeld(now);
    if (isHeld != wasHeld_) {
        wasHeld_ = isHeld;
        writeLog(LogLevel::Info, isHeld ? "leadership_taken" : "leadership_lost", {{"token", lease_.token()}});
    }
}

} // namespace Lovageloft
