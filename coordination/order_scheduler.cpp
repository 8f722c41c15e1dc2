#include "coordination/order_scheduler.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

constexpr int mostDoublings = 5;

/// Part of a newer round in the mean: drains differ by their longest answer, and three rounds are seen within seconds.
constexpr double newestRound = 0.3;

/// How much longer than the mean a round is reckoned: the engine whose answers run longest decides when a batch has ended.
constexpr double longestToMean = 1.25;

bool isSameState(const EngineState &left, const EngineState &right)
{
    return left.model == right.model && left.weightsVersion == right.weightsVersion && left.adapters == right.adapters && left.role == right.role;
}

} // namespace

OrderScheduler::OrderScheduler(OrderOptions options)
    : options_(options)
    , roundSeconds_(toSeconds(options.usualRound))
{
}

void OrderScheduler::setWanted(std::span<const WantedEngine> wanted, TimePoint now)
{
    std::map<std::string, Engine, std::less<>> engines;
    for (const WantedEngine &engine : wanted) {
        auto known = engines_.extract(engine.target);
        Engine &kept = known.empty() ? engines[engine.target] : engines.insert(std::move(known)).position->second;
        const bool isNews = engine.announced && (!kept.wanted.announced || !isSameState(*engine.announced, *kept.wanted.announced));
        kept.wanted = engine;
        if (isNews) {
            takeAnnounced(kept, now);
        }
    }
    engines_ = std::move(engines);
}

OrderPlan OrderScheduler::plan(const LeaseHolder &lease, TimePoint now)
{
    OrderPlan plan;
    if (!lease.isHeld(now)) {
        return plan;
    }
    if (lease.token() != token_) {
        startLeading(lease.token(), now);
    }
    plan.isSuperseded = isSuperseded_;
    if (isSuperseded_) {
        return plan;
    }
    std::size_t loading = loads(now);
    mostAtOnce_ = mostAtOnce(now);
    for (Engine *engine : longestOutdatedFirst(now)) {
        planOrder(*engine, lease, plan, loading, now);
    }
    for (auto &[target, engine] : engines_) {
        planRead(engine, plan.reads, now);
    }
    return plan;
}

/// Made for versions that are named faster than a round over all engines takes: in a fixed order the last ones would never have
/// their turn, and what runs there would grow old without bound.
std::vector<OrderScheduler::Engine *> OrderScheduler::longestOutdatedFirst(TimePoint now)
{
    std::vector<Engine *> outdated;
    for (auto &[target, engine] : engines_) {
        if (!engine.isSeen) {
            outdated.push_back(&engine);
            continue;
        }
        if (!difference(engine)) {
            engine.outdatedSince.reset();
            continue;
        }
        engine.outdatedSince = engine.outdatedSince.value_or(now);
        outdated.push_back(&engine);
    }
    std::stable_sort(outdated.begin(), outdated.end(), [now](const Engine *left, const Engine *right) {
        return left->outdatedSince.value_or(now) < right->outdatedSince.value_or(now);
    });
    return outdated;
}

bool OrderScheduler::maySend(const Order &order, const LeaseHolder &lease, TimePoint now) const
{
    // A paused holder wakes with orders in its hands. By then another may lead and have ordered otherwise, and an engine
    // that does not check fencing tokens would follow whichever order comes last.
    if (!lease.isHeld(now) || order.fencingToken != lease.token() || isSuperseded_) {
        return false;
    }
    const auto engine = engines_.find(order.target);
    if (engine == engines_.end() || !engine->second.open || engine->second.open->order.id != order.id) {
        return false;
    }
    const auto needed = difference(engine->second);
    const bool isYoung = now - engine->second.open->madeAt < options_.orderValidity;
    return isYoung && needed && needed->isSameAs(order) && isSettled(engine->second, lease, now);
}

void OrderScheduler::onOutcome(const Order &order, OrderOutcome outcome, TimePoint now)
{
    if (outcome == OrderOutcome::Fenced && order.fencingToken == token_) {
        isSuperseded_ = true;
    }
    const auto engine = engines_.find(order.target);
    if (engine != engines_.end() && engine->second.open && engine->second.open->order.id == order.id) {
        closeOrder(engine->second, now);
        if (outcome == OrderOutcome::Accepted) {
            engine->second.readSince = now + options_.reportLag;
            engine->second.nextRead = now + options_.reportLag;
        }
    }
}

void OrderScheduler::onOrderOfOther(std::string_view target, TimePoint now)
{
    const auto engine = engines_.find(target);
    if (engine != engines_.end()) {
        engine->second.orderedByOther = now;
    }
}

void OrderScheduler::onState(std::string_view target, const EngineState &state, TimePoint now)
{
    const auto found = engines_.find(target);
    if (found == engines_.end() || !found->second.readAskedAt) {
        return;
    }
    Engine &engine = found->second;
    const bool isCurrent = *engine.readAskedAt >= engine.readSince && !engine.open;
    engine.readAskedAt.reset();
    if (!isCurrent) {
        engine.nextRead = now;
        return;
    }
    engine.seen = state;
    engine.isSeen = true;
    engine.loadingUntil = state.isLoading ? now + options_.loadTimeout : TimePoint{};
    engine.nextRead = now + (state.isLoading ? options_.loadPause : options_.checkPause);
}

void OrderScheduler::startLeading(std::int64_t token, TimePoint now)
{
    token_ = token;
    isSuperseded_ = false;
    for (auto &[target, engine] : engines_) {
        const WantedEngine wanted = engine.wanted;
        const auto orderedByOther = engine.orderedByOther;
        engine = {};
        engine.wanted = wanted;
        engine.orderedByOther = orderedByOther;
        engine.readSince = now;
        // The leader before may have started loads here: each engine counts as loading until it has been read.
        engine.loadingUntil = now + options_.loadTimeout;
        if (wanted.announced) {
            takeAnnounced(engine, now);
        }
    }
}

/// An engine announces its state when it changes. So a load has ended once it says so, whatever its reports show.
void OrderScheduler::takeAnnounced(Engine &engine, TimePoint now)
{
    if (engine.open) {
        return;
    }
    if (engine.chosenAt) {
        roundSeconds_ += newestRound * (toSeconds(now - *engine.chosenAt) - roundSeconds_);
        engine.chosenAt.reset();
    }
    engine.seen = *engine.wanted.announced;
    engine.isSeen = true;
    engine.loadingUntil = {};
    engine.noticedAt.reset();
    engine.readAskedAt.reset();
    engine.nextRead = std::max(engine.nextRead, now + options_.checkPause);
}

void OrderScheduler::planRead(Engine &engine, std::vector<std::string> &reads, TimePoint now) const
{
    const bool isWaiting = engine.readAskedAt && now - *engine.readAskedAt < options_.answerTimeout;
    if (isWaiting || engine.open || now < engine.nextRead) {
        return;
    }
    engine.readAskedAt = now;
    reads.push_back(engine.wanted.target);
}

void OrderScheduler::planOrder(Engine &engine, const LeaseHolder &lease, OrderPlan &plan, std::size_t &loading, TimePoint now)
{
    if (engine.open && now - engine.open->madeAt >= options_.answerTimeout) {
        closeOrder(engine, now);
    }
    const bool isReady = engine.isSeen && !engine.seen.isLoading && !engine.open && isSettled(engine, lease, now);
    if (!isReady) {
        return;
    }
    auto order = difference(engine);
    const bool isRepeat = order && order->isSameAs(engine.lastOrder);
    if (!order || (isRepeat && now < engine.nextRepeat)) {
        return;
    }
    if (order->kind == OrderKind::LoadWeights && !mayLoadNow(engine, plan, loading, now)) {
        return;
    }
    engine.failures = isRepeat ? std::min(engine.failures + 1, mostDoublings) : 0;
    engine.lastOrder = *order;
    order->id = ++lastOrder_;
    order->fencingToken = token_;
    engine.open = OpenOrder{*order, now};
    plan.orders.push_back(std::move(*order));
}

/// Whether there is room for one more load and its notice is old enough. What goes wrong without a notice: requests that wait in the
/// engine when the order comes are declined, and go to another engine that has its turn next.
bool OrderScheduler::mayLoadNow(Engine &engine, OrderPlan &plan, std::size_t &loading, TimePoint now) const
{
    // A notice keeps its room for as long as it counts as a load: an engine that could not be ordered for longer has to find room anew.
    const bool hasRoom = engine.noticedAt && engine.loadingUntil > now;
    if (!hasRoom) {
        if (loading >= mostAtOnce_) {
            return false;
        }
        engine.chosenAt = now;
        if (options_.loadNotice > Duration::zero()) {
            engine.noticedAt = now;
            plan.notices.push_back(engine.wanted.target);
        }
    }
    loading += engine.loadingUntil > now ? 0 : 1;
    engine.loadingUntil = now + options_.loadTimeout;
    if (engine.noticedAt && now - *engine.noticedAt < options_.loadNotice) {
        return false;
    }
    engine.noticedAt.reset();
    return true;
}

std::optional<Order> OrderScheduler::difference(const Engine &engine) const
{
    const EngineState &wanted = engine.wanted.state;
    const EngineState &seen = engine.seen;
    const bool hasModel = wanted.model.empty() || wanted.model == seen.model;
    const bool hasWeights = wanted.weightsVersion.empty() || wanted.weightsVersion == seen.weightsVersion;
    if (!hasModel || !hasWeights) {
        return Order{0, engine.wanted.target, OrderKind::LoadWeights, wanted.model, wanted.weightsVersion, 0};
    }
    for (const std::string &adapter : wanted.adapters) {
        if (std::find(seen.adapters.begin(), seen.adapters.end(), adapter) == seen.adapters.end()) {
            return Order{0, engine.wanted.target, OrderKind::LoadAdapter, wanted.model, adapter, 0};
        }
    }
    if (!wanted.role.empty() && wanted.role != seen.role) {
        return Order{0, engine.wanted.target, OrderKind::SetRole, {}, wanted.role, 0};
    }
    return std::nullopt;
}

/// How many engines may be out at the same time. What goes wrong with a fixed number: a leader that takes over late, or answers that run
/// for seconds, leave more rounds than fit before the deadline, from when on an engine that still waits for its turn serves nobody:
/// ten of fourteen stood idle while the four that were done were overrun. So as many go at once as the time that is left calls
/// for, going by how long a round has taken lately.
std::size_t OrderScheduler::mostAtOnce(TimePoint now) const
{
    std::size_t outdated = 0;
    std::optional<TimePoint> due;
    for (const auto &[target, engine] : engines_) {
        if (!engine.isSeen || !engine.wanted.dueAt || !difference(engine)) {
            continue;
        }
        ++outdated;
        due = std::min(due.value_or(*engine.wanted.dueAt), *engine.wanted.dueAt);
    }
    const auto share = static_cast<std::size_t>(options_.loadShare * static_cast<double>(engines_.size()));
    const std::size_t usual = std::max(options_.mostLoads, share);
    if (!due) {
        return usual;
    }
    const double round = roundSeconds_ * longestToMean;
    const double rounds = std::max(1.0, toSeconds(*due - now) / round);
    return std::max(usual, static_cast<std::size_t>(std::ceil(static_cast<double>(outdated) / rounds)));
}

std::size_t OrderScheduler::loads(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [now](const auto &engine) { return engine.second.loadingUntil > now; }));
}

bool OrderScheduler::isSettled(const Engine &engine, const LeaseHolder &lease, TimePoint now) const
{
    // Orders of the holder before may still be on their way. An engine that checks tokens refuses them once it has seen
    // ours; with one that does not we wait until none can come. An engine that the holder before was heard to order gets a longer pause,
    // so that two holders don't take turns at it.
    const bool isTurn = now < std::max(engine.orderedByOther.value_or(TimePoint{}), options_.hearsSince) + options_.turnPause;
    return engine.wanted.checksFencing || (now >= lease.settledAt() && !isTurn);
}

void OrderScheduler::closeOrder(Engine &engine, TimePoint now) const
{
    engine.open.reset();
    // Whatever the answer says, only the engine's state tells what came of the order: answers get lost and engines revert.
    engine.isSeen = false;
    engine.readSince = now;
    engine.nextRead = now;
    // An accepted order is repeated no sooner than a refused one: an engine that reverts each time, or has not begun
    // to load yet, would be made to load without end.
    engine.nextRepeat = now + options_.retryPause * (1 << engine.failures);
}

} // namespace Lovageloft
