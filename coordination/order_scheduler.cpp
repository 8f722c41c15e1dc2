#include "coordination/order_scheduler.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

constexpr int maxRetryDoublings = 5;

/// Weight of the newest round in the moving average. Drain times vary with the longest answer, and three rounds are observed within
/// seconds.
constexpr double roundSmoothing = 0.3;

/// Ratio of the planned to the average time of a round: the engine with the longest running answer decides when a batch has ended.
constexpr double roundSafetyFactor = 1.25;

bool isSameModel(const ModelState &left, const ModelState &right)
{
    return left.name == right.name && left.weightsVersion == right.weightsVersion && left.adapters == right.adapters;
}

bool isSameState(const EngineState &left, const EngineState &right)
{
    return left.role == right.role && std::equal(left.models.begin(), left.models.end(), right.models.begin(), right.models.end(), isSameModel);
}

const ModelState *findModel(const EngineState &state, std::string_view name)
{
    const auto found = std::find_if(state.models.begin(), state.models.end(), [name](const ModelState &model) { return model.name == name; });
    return found != state.models.end() ? &*found : nullptr;
}

/// The order that brings a model to its desired state; `observed` is null if the engine does not have the model.
std::optional<Order> requiredOrder(const std::string &target, const ModelState &desired, const ModelState *observed)
{
    if (observed == nullptr || (!desired.weightsVersion.empty() && desired.weightsVersion != observed->weightsVersion)) {
        return Order{0, target, OrderKind::LoadWeights, desired.name, desired.weightsVersion, 0};
    }
    for (const std::string &adapter : desired.adapters) {
        if (std::find(observed->adapters.begin(), observed->adapters.end(), adapter) == observed->adapters.end()) {
            return Order{0, target, OrderKind::LoadAdapter, desired.name, adapter, 0};
        }
    }
    return std::nullopt;
}

} // namespace

OrderScheduler::OrderScheduler(OrderOptions options)
    : options_(options)
    , roundSeconds_(toSeconds(options.initialRoundTime))
{
}

void OrderScheduler::setDesired(std::span<const DesiredEngine> desired, TimePoint now)
{
    std::map<std::string, Engine, std::less<>> engines;
    for (const DesiredEngine &engine : desired) {
        auto existing = engines_.extract(engine.target);
        Engine &entry = existing.empty() ? engines[engine.target] : engines.insert(std::move(existing)).position->second;
        const bool isNewAnnouncement = engine.announced && (!entry.desired.announced || !isSameState(*engine.announced, *entry.desired.announced));
        entry.desired = engine;
        if (isNewAnnouncement) {
            applyAnnounced(entry, now);
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
    closeUnansweredOrders(now);
    std::size_t loading = countLoads(now);
    maxConcurrentLoads_ = maxConcurrentLoads(now);
    for (Engine *engine : longestOutdatedFirst(now)) {
        planOrder(*engine, lease, plan, loading, now);
    }
    for (auto &[target, engine] : engines_) {
        planRead(engine, plan.reads, now);
    }
    return plan;
}

/// Engines not in their desired state, or not observed yet, sorted by how long they have been outdated. In a fixed sequence the last
/// engines would never be selected if new versions arrived faster than all engines can load them, and the age of their weights would
/// have no bound.
std::vector<OrderScheduler::Engine *> OrderScheduler::longestOutdatedFirst(TimePoint now)
{
    std::vector<Engine *> outdated;
    for (auto &[target, engine] : engines_) {
        if (engine.isObserved) {
            updateHistories(engine, now);
        }
        if (!engine.isObserved || outdatedSince(engine)) {
            outdated.push_back(&engine);
        }
    }
    std::stable_sort(outdated.begin(), outdated.end(), [now](const Engine *left, const Engine *right) {
        return outdatedSince(*left).value_or(now) < outdatedSince(*right).value_or(now);
    });
    return outdated;
}

/// Notes which models, and whether the role, of an observed engine are outdated, and since when.
void OrderScheduler::updateHistories(Engine &engine, TimePoint now)
{
    const std::vector<Order> required = requiredOrders(engine);
    for (auto &entry : engine.histories) {
        const bool isOutdated = std::any_of(required.begin(), required.end(), [&entry](const Order &order) { return order.model == entry.first; });
        if (!isOutdated) {
            entry.second.outdatedSince.reset();
        }
    }
    for (const Order &order : required) {
        OrderHistory &history = engine.histories[order.model];
        history.outdatedSince = history.outdatedSince.value_or(now);
    }
}

/// Since when some part of an engine has been outdated; nothing if none is.
std::optional<TimePoint> OrderScheduler::outdatedSince(const Engine &engine)
{
    std::optional<TimePoint> since;
    for (const auto &[model, history] : engine.histories) {
        if (history.outdatedSince) {
            since = std::min(since.value_or(*history.outdatedSince), *history.outdatedSince);
        }
    }
    return since;
}

bool OrderScheduler::maySend(const Order &order, const LeaseHolder &lease, TimePoint now) const
{
    // A holder that resumes after a pause may still have orders to send. Another host may lead by then and have given other orders, and
    // an engine that does not check fencing tokens would keep the state of whichever order arrives last.
    if (!lease.isHeld(now) || order.fencingToken != lease.token() || isSuperseded_) {
        return false;
    }
    const auto engine = engines_.find(order.target);
    if (engine == engines_.end() || !engine->second.pending || engine->second.pending->order.id != order.id) {
        return false;
    }
    const std::vector<Order> required = requiredOrders(engine->second);
    const bool isRequired = std::any_of(required.begin(), required.end(), [&order](const Order &other) { return other.isSameAs(order); });
    const bool isValid = now - engine->second.pending->createdAt < options_.orderValidity;
    return isValid && isRequired && isSettled(engine->second, lease, now);
}

void OrderScheduler::onOutcome(const Order &order, OrderOutcome outcome, TimePoint now)
{
    if (outcome == OrderOutcome::Fenced && order.fencingToken == token_) {
        isSuperseded_ = true;
    }
    const auto engine = engines_.find(order.target);
    if (engine != engines_.end() && engine->second.pending && engine->second.pending->order.id == order.id) {
        closeOrder(engine->second, now);
        if (outcome == OrderOutcome::Accepted) {
            engine->second.readsValidSince = now + options_.maxReportAge;
            engine->second.nextReadAt = now + options_.maxReportAge;
        }
    }
}

void OrderScheduler::onOrderByOther(std::string_view target, TimePoint now)
{
    const auto engine = engines_.find(target);
    if (engine != engines_.end()) {
        engine->second.orderedByOtherAt = now;
    }
}

void OrderScheduler::onState(std::string_view target, const EngineState &state, TimePoint now)
{
    const auto found = engines_.find(target);
    if (found == engines_.end() || !found->second.readRequestedAt) {
        return;
    }
    Engine &engine = found->second;
    const bool isCurrent = *engine.readRequestedAt >= engine.readsValidSince && !engine.pending;
    engine.readRequestedAt.reset();
    if (!isCurrent) {
        engine.nextReadAt = now;
        return;
    }
    engine.observed = state;
    engine.isObserved = true;
    engine.loadingUntil = state.isLoading ? now + options_.loadTimeout : TimePoint{};
    engine.nextReadAt = now + (state.isLoading ? options_.loadPollInterval : options_.pollInterval);
}

void OrderScheduler::startLeading(std::int64_t token, TimePoint now)
{
    token_ = token;
    isSuperseded_ = false;
    for (auto &[target, engine] : engines_) {
        const DesiredEngine desired = engine.desired;
        const auto orderedByOtherAt = engine.orderedByOtherAt;
        engine = {};
        engine.desired = desired;
        engine.orderedByOtherAt = orderedByOtherAt;
        engine.readsValidSince = now;
        // The previous leader may have started loads, so each engine counts as loading until it has been read.
        engine.loadingUntil = now + options_.loadTimeout;
        if (desired.announced) {
            applyAnnounced(engine, now);
        }
    }
}

/// An engine announces its state when the state changes, so a load has ended once it is announced, whatever the engine's reports show.
void OrderScheduler::applyAnnounced(Engine &engine, TimePoint now)
{
    if (engine.pending) {
        return;
    }
    if (engine.selectedAt) {
        roundSeconds_ += roundSmoothing * (toSeconds(now - *engine.selectedAt) - roundSeconds_);
        engine.selectedAt.reset();
    }
    engine.observed = *engine.desired.announced;
    engine.isObserved = true;
    engine.loadingUntil = {};
    engine.notice.reset();
    engine.readRequestedAt.reset();
    engine.nextReadAt = std::max(engine.nextReadAt, now + options_.pollInterval);
}

void OrderScheduler::planRead(Engine &engine, std::vector<std::string> &reads, TimePoint now) const
{
    const bool isReading = engine.readRequestedAt && now - *engine.readRequestedAt < options_.answerTimeout;
    if (isReading || engine.pending || now < engine.nextReadAt) {
        return;
    }
    engine.readRequestedAt = now;
    reads.push_back(engine.desired.target);
}

void OrderScheduler::planOrder(Engine &engine, const LeaseHolder &lease, OrderPlan &plan, std::size_t &loading, TimePoint now)
{
    const bool isReady = engine.isObserved && !engine.observed.isLoading && !engine.pending && isSettled(engine, lease, now);
    if (!isReady) {
        return;
    }
    for (Order &order : requiredOrders(engine)) {
        OrderHistory &history = engine.histories[order.model];
        const bool isRepeat = order.isSameAs(history.lastOrder);
        if (isRepeat && now < history.nextRepeatAt) {
            continue;
        }
        if (order.kind == OrderKind::LoadWeights && !prepareLoad(engine, order.model, plan, loading, now)) {
            return;
        }
        history.repeats = isRepeat ? std::min(history.repeats + 1, maxRetryDoublings) : 0;
        history.lastOrder = order;
        order.id = ++lastOrderId_;
        order.fencingToken = token_;
        engine.pending = PendingOrder{order, now};
        plan.orders.push_back(std::move(order));
        return;
    }
}

/// Reserves one of the concurrent loads and sends the notice if needed; returns whether the order may be given now. Without a notice,
/// the requests that wait in the engine when the order arrives would be declined, and be sent to another engine that loads next.
bool OrderScheduler::prepareLoad(Engine &engine, const std::string &model, OrderPlan &plan, std::size_t &loading, TimePoint now) const
{
    // A notice keeps its reservation only while it counts as a load. An engine that could not be ordered for longer needs a new one.
    const bool hasRoom = engine.notice && engine.loadingUntil > now;
    if (!hasRoom) {
        if (loading >= maxConcurrentLoads_) {
            return false;
        }
        engine.selectedAt = now;
    }
    const bool isNoticed = hasRoom && engine.notice->model == model;
    if (!isNoticed && options_.loadNotice > Duration::zero()) {
        engine.notice = SentNotice{model, now};
        plan.loadNotices.push_back({engine.desired.target, model});
    }
    loading += engine.loadingUntil > now ? 0 : 1;
    engine.loadingUntil = now + options_.loadTimeout;
    if (engine.notice && now - engine.notice->sentAt < options_.loadNotice) {
        return false;
    }
    engine.notice.reset();
    return true;
}

/// The orders that an observed engine still needs, in the sequence in which to give them: the model that has been outdated for longest
/// first, of several the one that is due first, and the role last.
std::vector<Order> OrderScheduler::requiredOrders(const Engine &engine)
{
    const auto urgency = [&engine](const ModelState &model) {
        const auto history = engine.histories.find(model.name);
        const auto since = history != engine.histories.end() ? history->second.outdatedSince : std::nullopt;
        return std::pair(since.value_or(TimePoint::max()), model.dueAt.value_or(TimePoint::max()));
    };
    const EngineState &desired = engine.desired.state;
    std::vector<const ModelState *> models(desired.models.size());
    std::transform(desired.models.begin(), desired.models.end(), models.begin(), [](const ModelState &model) { return &model; });
    std::stable_sort(models.begin(), models.end(), [&](const ModelState *left, const ModelState *right) { return urgency(*left) < urgency(*right); });
    std::vector<Order> orders;
    for (const ModelState *model : models) {
        if (auto order = requiredOrder(engine.desired.target, *model, findModel(engine.observed, model->name))) {
            orders.push_back(std::move(*order));
        }
    }
    if (!desired.role.empty() && desired.role != engine.observed.role) {
        orders.push_back({0, engine.desired.target, OrderKind::SetRole, {}, desired.role, 0});
    }
    return orders;
}

/// How many engines may load at the same time. With a fixed number, a leader that takes over late, or answers that run for seconds, need
/// more rounds than fit before the deadline, after which an engine that still waits to load must not serve: for example, ten of
/// fourteen engines are idle while the four that have loaded are overloaded. The number therefore follows from the time left and the recent duration
/// of a round.
std::size_t OrderScheduler::maxConcurrentLoads(TimePoint now) const
{
    std::size_t outdated = 0; // Models of engines: each needs a load of its own.
    std::optional<TimePoint> earliestDue;
    for (const auto &[target, engine] : engines_) {
        if (!engine.isObserved) {
            continue;
        }
        for (const ModelState &model : engine.desired.state.models) {
            if (model.dueAt && requiredOrder(target, model, findModel(engine.observed, model.name))) {
                ++outdated;
                earliestDue = std::min(earliestDue.value_or(*model.dueAt), *model.dueAt);
            }
        }
    }
    const auto limitByFraction = static_cast<std::size_t>(options_.maxLoadFraction * static_cast<double>(engines_.size()));
    const std::size_t normalLimit = std::max(options_.maxLoads, limitByFraction);
    if (!earliestDue) {
        return normalLimit;
    }
    const double round = roundSeconds_ * roundSafetyFactor;
    const double rounds = std::max(1.0, toSeconds(*earliestDue - now) / round);
    return std::max(normalLimit, static_cast<std::size_t>(std::ceil(static_cast<double>(outdated) / rounds)));
}

std::size_t OrderScheduler::countLoads(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [now](const auto &engine) { return engine.second.loadingUntil > now; }));
}

bool OrderScheduler::isSettled(const Engine &engine, const LeaseHolder &lease, TimePoint now) const
{
    // Orders of the previous holder may still be in flight. An engine that checks fencing tokens refuses them once it has received an
    // order of this host; for other engines this host waits until none can arrive. After a known order of another holder the wait is
    // longer, so that two holders do not give alternating orders to the same engine.
    const bool isHandover = now < std::max(engine.orderedByOtherAt.value_or(TimePoint{}), options_.listeningSince) + options_.handoverDelay;
    return engine.desired.checksFencing || (now >= lease.settledAt() && !isHandover);
}

/// An order may have taken effect though its answer was lost, also at an engine that was in its desired state when the order was no longer wanted.
void OrderScheduler::closeUnansweredOrders(TimePoint now)
{
    for (auto &[target, engine] : engines_) {
        if (engine.pending && now - engine.pending->createdAt >= options_.answerTimeout) {
            closeOrder(engine, now);
        }
    }
}

void OrderScheduler::closeOrder(Engine &engine, TimePoint now) const
{
    OrderHistory &history = engine.histories[engine.pending->order.model];
    engine.pending.reset();
    // Only the state of the engine shows the effect of the order, whatever the answer was: answers get lost and engines revert.
    engine.isObserved = false;
    engine.readsValidSince = now;
    engine.nextReadAt = now;
    // An accepted order is not repeated sooner than a refused one. Otherwise an engine that reverts each time, or that has not started
    // to load yet, would have to load again and again.
    history.nextRepeatAt = now + options_.retryDelay * (1 << history.repeats);
}

} // namespace Lovageloft
