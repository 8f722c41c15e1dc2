#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/order_scheduler.h"
#include "core/random.h"
#include "tests/coordination/lossy_store.h"
#include "tests/coordination/virtual_time.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration loadTime = 400ms;

struct FakeEngine
{
    EngineState state;
    TimePoint loadedAt;
    bool checksFencing = false;
    std::int64_t newestToken = 0;
    bool executedStaleOrder = false; ///< Executed an order with an older fencing token than an earlier one.
    int loads = 0;

    EngineState read(TimePoint now) const
    {
        EngineState answer = state;
        answer.isLoading = now < loadedAt;
        return answer;
    }

    ModelState &modelOf(const Order &order)
    {
        const auto found = std::find_if(state.models.begin(), state.models.end(), [&order](const ModelState &model) { return model.name == order.model; });
        return found != state.models.end() ? *found : state.models.emplace_back(ModelState{order.model, {}, {}});
    }

    OrderOutcome execute(const Order &order, TimePoint now)
    {
        if (checksFencing && order.fencingToken < newestToken) {
            return OrderOutcome::Fenced;
        }
        executedStaleOrder = executedStaleOrder || order.fencingToken < newestToken;
        newestToken = std::max(newestToken, order.fencingToken);
        if (order.kind == OrderKind::SetRole) {
            state.role = order.value;
        } else if (order.kind == OrderKind::LoadAdapter) {
            modelOf(order).adapters.push_back(order.value);
        } else {
            modelOf(order) = {order.model, order.value, {}};
            loadedAt = now + loadTime;
            ++loads;
        }
        return OrderOutcome::Accepted;
    }
};

bool hasSameWeights(const ModelState &left, const ModelState &right)
{
    return left.name == right.name && left.weightsVersion == right.weightsVersion && left.adapters == right.adapters;
}

std::vector<DesiredEngine> desiredEngines(std::size_t count, const std::string &version)
{
    std::vector<DesiredEngine> desired(count);
    for (std::size_t i = 0; i < count; ++i) {
        desired[i] = {"e" + std::to_string(i), i % 2 == 0, {{{"m", version, {"georgian"}}}, "decode", false}};
    }
    return desired;
}

/// Hosts that compete for the lease, and engines that execute orders, in virtual time.
class Deployment
{
public:
    Deployment(std::size_t hosts, std::size_t engineCount, std::uint64_t seed = 0, const OrderOptions &options = {})
        : desired(desiredEngines(engineCount, "v1"))
        , random_(seed)
    {
        for (const DesiredEngine &engine : desired) {
            engines[engine.target].checksFencing = engine.checksFencing;
        }
        hosts_.resize(hosts);
        for (std::size_t i = 0; i < hosts; ++i) {
            hosts_[i].scheduler = OrderScheduler(options);
            hosts_[i].lease = std::make_unique<LeaseHolder>(store, "p/orders", "h" + std::to_string(i));
            hosts_[i].scheduler.setDesired(desired, now());
            runScheduler(i);
        }
    }

    void setVersion(const std::string &version)
    {
        desired = desiredEngines(desired.size(), version);
        for (Host &host : hosts_) {
            host.scheduler.setDesired(desired, now());
        }
    }

    TimePoint now() const
    {
        return time_.now();
    }

    void run(Duration time)
    {
        time_.runUntil(now() + time, [this] { observe(); });
    }

    void pause(std::size_t host, Duration time)
    {
        hosts_[host].pausedUntil = now() + time;
    }

    /// Index of the host that may act as leader now; the number of hosts if none may.
    std::size_t leader() const
    {
        const auto found = std::find_if(hosts_.begin(), hosts_.end(), [this](const Host &host) { return host.lease->isHeld(now()); });
        return static_cast<std::size_t>(found - hosts_.begin());
    }

    bool isInDesiredState() const
    {
        return std::all_of(desired.begin(), desired.end(), [this](const DesiredEngine &engine) {
            const EngineState &state = engines.at(engine.target).state;
            return state.role == "decode"
                && std::equal(state.models.begin(), state.models.end(), engine.state.models.begin(), engine.state.models.end(), hasSameWeights);
        });
    }

    bool executedStaleOrder() const
    {
        return std::any_of(engines.begin(), engines.end(), [](const auto &engine) { return engine.second.executedStaleOrder; });
    }

    /// Injects a random fault; pauses end within 20 s.
    void fault()
    {
        const std::size_t dice = randomBelow(random_, 6);
        if (dice <= 1) {
            pause(randomBelow(random_, hosts_.size()), std::chrono::milliseconds(randomBelow(random_, 20'000)));
        } else if (dice == 2) {
            store.isDown = !store.isDown;
        } else if (dice == 3) {
            store.losesAnswers = !store.losesAnswers;
        } else if (dice == 4) {
            engines["e" + std::to_string(randomBelow(random_, engines.size()))].state = {};
        } else {
            setVersion("v" + std::to_string(randomBelow(random_, 9)));
        }
    }

    LossyStore store{[this] { return now(); }};
    std::vector<DesiredEngine> desired;
    std::map<std::string, FakeEngine> engines;
    std::size_t orders = 0;
    std::size_t maxLoading = 0;
    std::size_t maxLeaders = 0;
    std::size_t lossPercent = 0;
    Duration maxDelay = 2ms; ///< Of a message.
    std::map<std::string, TimePoint> noticedAt; ///< When the last load notice of an engine was sent.
    Duration shortestNotice = Duration::max(); ///< Shortest time between a notice and its order.

private:
    struct Host
    {
        std::unique_ptr<LeaseHolder> lease;
        OrderScheduler scheduler;
        TimePoint pausedUntil;
    };

    void onHost(std::size_t i, Duration delay, const std::function<void()> &action)
    {
        time_.schedule(delay, [this, i, action] {
            if (hosts_[i].pausedUntil > now()) {
                onHost(i, hosts_[i].pausedUntil - now(), action);
            } else {
                action();
            }
        });
    }

    Duration delay()
    {
        return Duration(1 + randomBelow(random_, static_cast<std::size_t>(maxDelay.count())));
    }

    bool isLost()
    {
        return randomBelow(random_, 100) < lossPercent;
    }

    void runScheduler(std::size_t i)
    {
        Host &host = hosts_[i];
        host.lease->step(now());
        const OrderPlan plan = host.scheduler.plan(*host.lease, now());
        if (plan.isSuperseded) {
            host.lease->release(now());
        }
        for (const std::string &target : plan.reads) {
            time_.schedule(delay(), [this, i, target] {
                const EngineState state = engines[target].read(now());
                onHost(i, delay(), [this, i, target, state] { hosts_[i].scheduler.onState(target, state, now()); });
            });
        }
        for (const LoadNotice &notice : plan.loadNotices) {
            noticedAt[notice.target] = now();
        }
        for (const Order &order : plan.orders) {
            if (order.kind == OrderKind::LoadWeights) {
                const auto noticed = noticedAt.find(order.target);
                shortestNotice = std::min(shortestNotice, noticed == noticedAt.end() ? Duration::zero() : now() - noticed->second);
            }
            onHost(i, 1ms, [this, i, order] { send(i, order); });
        }
        onHost(i, 50ms, [this, i] { runScheduler(i); });
    }

    void send(std::size_t i, const Order &order)
    {
        if (!hosts_[i].scheduler.maySend(order, *hosts_[i].lease, now())) {
            hosts_[i].scheduler.onOutcome(order, OrderOutcome::Lost, now());
            return;
        }
        ++orders;
        if (isLost()) {
            return;
        }
        time_.schedule(delay(), [this, i, order] {
            const OrderOutcome outcome = engines[order.target].execute(order, now());
            if (!isLost()) {
                onHost(i, delay(), [this, i, order, outcome] { hosts_[i].scheduler.onOutcome(order, outcome, now()); });
            }
        });
    }

    void observe()
    {
        const auto loading = std::count_if(engines.begin(), engines.end(), [this](const auto &engine) { return now() < engine.second.loadedAt; });
        const auto leaders = std::count_if(hosts_.begin(), hosts_.end(), [this](const Host &host) { return host.lease->isHeld(now()); });
        maxLoading = std::max(maxLoading, static_cast<std::size_t>(loading));
        maxLeaders = std::max(maxLeaders, static_cast<std::size_t>(leaders));
    }

    VirtualTime time_{1h};
    Random random_;
    std::vector<Host> hosts_;
};

/// A leader driven by the test. All engines have been read and are in their desired state, except the first, which is empty.
struct Leader
{
    explicit Leader(std::size_t engineCount)
        : desired(desiredEngines(engineCount, "v1"))
    {
        scheduler.setDesired(desired, start);
        for (int step = 0; step < 3; ++step) {
            lease.step(start);
        }
    }

    Order firstOrder(TimePoint now)
    {
        scheduler.plan(lease, now);
        for (const DesiredEngine &engine : desired) {
            scheduler.onState(engine.target, engine.target == "e0" ? EngineState{} : engine.state, now);
        }
        const OrderPlan plan = scheduler.plan(lease, now);
        BOOST_REQUIRE(plan.orders.size() == 1);
        return plan.orders[0];
    }

    TimePoint start = TimePoint(1h);
    LossyStore store{[this] { return start; }};
    std::vector<DesiredEngine> desired;
    LeaseHolder lease{store, "p/orders", "h9"};
    OrderScheduler scheduler;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OrderSchedulerTest)

BOOST_AUTO_TEST_CASE(enginesReachTheDesiredStateDespiteFaults)
{
    // Hosts are paused, the store fails or its answers are lost, orders and their answers are lost or delayed by seconds, engines restart
    // empty and tickets change the version, all at the same time. An engine left with old weights would serve outdated results, and one
    // that executes a late order would revert to them.
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        OrderOptions options;
        options.loadNotice = seed % 4 < 2 ? Duration::zero() : Duration(180ms);
        Deployment deployment(3, 8, seed, options);
        deployment.lossPercent = seed % 3 * 10;
        deployment.maxDelay = seed % 2 == 0 ? Duration(2s) : Duration(2ms);
        for (int fault = 0; fault < 40; ++fault) {
            deployment.run(2s);
            deployment.fault();
        }
        deployment.store.isDown = false;
        deployment.store.losesAnswers = false;
        deployment.lossPercent = 0;
        deployment.run(150s);
        BOOST_REQUIRE_MESSAGE(deployment.isInDesiredState(), "seed " << seed << " leaves an engine in another state");
        BOOST_REQUIRE_MESSAGE(deployment.maxLeaders == 1, "seed " << seed << " has " << deployment.maxLeaders << " leaders");
        BOOST_REQUIRE_MESSAGE(!deployment.executedStaleOrder(), "seed " << seed << ": an engine executed an older order");
        BOOST_REQUIRE_MESSAGE(deployment.maxLoading <= 3, "seed " << seed << ": " << deployment.maxLoading << " loads at once");
        BOOST_REQUIRE_MESSAGE(deployment.shortestNotice >= options.loadNotice, "seed " << seed << ": an engine was ordered to load too soon");
    }
}

// Guards against an engine that keeps weights for good which nobody wants any more: it was ordered to load them, the answer was lost, and the
// weights that it had before were wanted again meanwhile.
BOOST_AUTO_TEST_CASE(anEngineIsReadAfterAnUnansweredOrderThatIsNoLongerWanted)
{
    Leader leader(2);
    TimePoint now = leader.start;
    leader.firstOrder(now);
    leader.desired[0].state = {};
    leader.scheduler.setDesired(leader.desired, now);
    for (const TimePoint timeout = now + OrderOptions{}.answerTimeout; now < timeout;) {
        now += 500ms;
        leader.start = now;
        leader.lease.step(now);
    }
    BOOST_REQUIRE(leader.lease.isHeld(now));
    const OrderPlan plan = leader.scheduler.plan(leader.lease, now);
    BOOST_TEST((std::find(plan.reads.begin(), plan.reads.end(), "e0") != plan.reads.end()));
}

BOOST_AUTO_TEST_CASE(threeEnginesLoadAtOnceAndAllFinishSoon)
{
    // A ticket changes the version of all engines. If all loaded at once, the weight store would slow every load down.
    Deployment deployment(1, 18);
    deployment.run(20s);
    BOOST_TEST(deployment.isInDesiredState());
    BOOST_TEST(deployment.maxLoading == 3);
    deployment.setVersion("v2");
    deployment.run(10s);
    BOOST_TEST(deployment.isInDesiredState());
    BOOST_TEST(deployment.maxLoading == 3);
    for (const auto &[name, engine] : deployment.engines) {
        BOOST_TEST(engine.loads == 2, name << " loaded " << engine.loads << " times");
    }
}

BOOST_AUTO_TEST_CASE(aLoadIsAnnouncedBeforeItIsOrdered)
{
    // Long prompts wait in every engine when new weights are released. Requests that wait in an engine when it is ordered to load are
    // declined and sent to another engine, which may load next, so that their callers lose a second. After a notice no new requests are
    // sent to the engine, and the waiting ones have started by the time of the order.
    OrderOptions options;
    options.loadNotice = 180ms;
    Deployment deployment(1, 18, 0, options);
    deployment.run(20s);
    deployment.setVersion("v2");
    deployment.run(8s);
    BOOST_TEST(deployment.isInDesiredState());
    BOOST_TEST(deployment.noticedAt.size() == 18U);
    BOOST_TEST(toMillis(deployment.shortestNotice) >= 180);
    BOOST_TEST(deployment.maxLoading == 3);
}

BOOST_AUTO_TEST_CASE(onlyEnginesThatCheckTokensAreOrderedAtOnce)
{
    // The previous leader may have sent an order just before its lease expired. An engine that does not check fencing tokens could
    // execute it after an order of the new leader.
    Deployment deployment(1, 2);
    deployment.run(11s);
    BOOST_TEST(deployment.engines["e0"].loads == 1);
    BOOST_TEST(deployment.engines["e1"].loads == 0);
    deployment.run(5s);
    BOOST_TEST(deployment.engines["e1"].loads == 1);
}

BOOST_AUTO_TEST_CASE(aLeaderSendsNothingAfterAPause)
{
    // A leader is paused while it has orders to send, its lease expires and another host becomes leader. After the pause it must not
    // revert what the new leader has ordered since.
    Deployment deployment(2, 4);
    deployment.run(30s);
    const std::size_t first = deployment.leader();
    BOOST_REQUIRE(first < 2);
    deployment.pause(first, 60s);
    deployment.run(50s);
    BOOST_TEST(deployment.leader() == 1 - first);
    deployment.run(50s);
    BOOST_TEST(deployment.leader() == 1 - first);
    BOOST_TEST(deployment.maxLeaders == 1);
}

BOOST_AUTO_TEST_CASE(anOrderIsCheckedAgainBeforeItIsSent)
{
    // Between the decision and the sending, the host is paused, its lease ends, or a ticket changes the desired state.
    Leader paused(4);
    const Order old = paused.firstOrder(paused.start);
    BOOST_TEST(paused.scheduler.maySend(old, paused.lease, paused.start));
    BOOST_TEST(!paused.scheduler.maySend(old, paused.lease, paused.start + 2s));
    Leader lapsing(4);
    const Order last = lapsing.firstOrder(lapsing.start + 7900ms);
    BOOST_TEST(!lapsing.scheduler.maySend(last, lapsing.lease, lapsing.start + 8100ms));
    Leader outdated(4);
    const Order stale = outdated.firstOrder(outdated.start);
    outdated.scheduler.setDesired(desiredEngines(4, "v2"), outdated.start);
    BOOST_TEST(!outdated.scheduler.maySend(stale, outdated.lease, outdated.start));
}

BOOST_AUTO_TEST_CASE(aReadRequestedBeforeAnOrderIsIgnored)
{
    // The answer to an earlier read arrives after the answer to the order. If it counted as the current state, the engine would have to
    // load the same weights again.
    Leader leader(2);
    leader.scheduler.onOutcome(leader.firstOrder(leader.start), OrderOutcome::Accepted, leader.start);
    leader.scheduler.plan(leader.lease, leader.start);
    leader.scheduler.onState("e0", leader.desired[0].state, leader.start);
    const TimePoint later = leader.start + 5500ms;
    BOOST_TEST(leader.scheduler.plan(leader.lease, later).reads.size() == 2);
    leader.scheduler.setDesired(desiredEngines(2, "v2"), later);
    const OrderPlan plan = leader.scheduler.plan(leader.lease, later);
    BOOST_REQUIRE(plan.orders.size() == 1);
    leader.scheduler.onOutcome(plan.orders[0], OrderOutcome::Accepted, later + 100ms);
    leader.scheduler.onState("e0", leader.desired[0].state, later + 200ms);
    const OrderPlan next = leader.scheduler.plan(leader.lease, later + 2s);
    BOOST_TEST(next.orders.empty());
    BOOST_TEST(std::count(next.reads.begin(), next.reads.end(), "e0") == 1);
}

BOOST_AUTO_TEST_CASE(anOrderWithALostAnswerIsNotRepeatedBeforeARead)
{
    // An engine loads, but its answer is lost. A second order would make it load again and lose its warm cache.
    Deployment deployment(1, 2);
    deployment.lossPercent = 0;
    deployment.run(14s);
    deployment.setVersion("v2");
    deployment.lossPercent = 50;
    deployment.run(60s);
    deployment.lossPercent = 0;
    deployment.run(60s);
    BOOST_TEST(deployment.isInDesiredState());
    for (const auto &[name, engine] : deployment.engines) {
        BOOST_TEST(engine.loads == 2, name << " loaded " << engine.loads << " times");
    }
}

BOOST_AUTO_TEST_CASE(anEngineThatRevertsIsOrderedAgainWithBackoff)
{
    // An engine reverts to its old role each time, perhaps by a rule of its own. Each order interrupts its work, so the order is
    // repeated with increasing delays.
    Deployment deployment(1, 1);
    deployment.run(5s);
    BOOST_TEST(deployment.isInDesiredState());
    const std::size_t before = deployment.orders;
    for (int second = 0; second < 120; ++second) {
        deployment.engines["e0"].state.role = "prefill";
        deployment.run(1s);
    }
    BOOST_TEST(deployment.orders > before + 3);
    BOOST_TEST(deployment.orders < before + 12);
    deployment.run(60s);
    BOOST_TEST(deployment.isInDesiredState());
}

BOOST_AUTO_TEST_CASE(aNewLeaderCountsLoadsItDidNotStart)
{
    // The previous leader started loads and died. Its successor must not start three more at the same time.
    Leader leader(6);
    OrderScheduler &scheduler = leader.scheduler;
    const LeaseHolder &lease = leader.lease;
    const TimePoint settled = leader.start;
    BOOST_TEST(scheduler.plan(lease, settled).reads.size() == 6);
    scheduler.onState("e0", {}, settled);
    scheduler.onState("e2", {}, settled);
    BOOST_TEST(scheduler.plan(lease, settled).orders.empty());
    scheduler.onState("e4", {{{"m", "v1", {}}}, "", true}, settled);
    scheduler.onState("e1", {}, settled);
    BOOST_TEST(scheduler.plan(lease, settled).orders.empty());
    scheduler.onState("e3", {}, settled);
    BOOST_TEST(scheduler.plan(lease, settled).orders.size() == 1);
}

BOOST_AUTO_TEST_CASE(aFencedOrderEndsTheLeadership)
{
    // Another host is leader already, and this host learns it only from an engine that has seen a newer fencing token.
    Deployment deployment(1, 2);
    deployment.engines["e0"].newestToken = 1'000;
    deployment.run(1500ms);
    BOOST_TEST(deployment.leader() == 1);
    BOOST_TEST(deployment.orders == 1);
    BOOST_TEST(deployment.engines["e0"].loads == 0);
}

BOOST_AUTO_TEST_CASE(aLeaseWhoseAnswerWasLostIsFoundByReadingBack)
{
    TimePoint now = TimePoint(1h);
    LossyStore store([&now] { return now; });
    LeaseHolder first(store, "k", "h0");
    store.losesAnswers = true;
    for (int step = 0; step < 4; ++step) {
        first.step(now);
    }
    BOOST_TEST(first.isHeld(now));
    BOOST_TEST(first.isHeld(now + 7s));
    BOOST_TEST(!first.isHeld(now + 8s));
    store.losesAnswers = false;
    first.release(now);
    BOOST_TEST(!first.isHeld(now));
    first.step(now);
    LeaseHolder second(store, "k", "h1");
    for (int step = 0; step < 3; ++step) {
        second.step(now);
    }
    BOOST_TEST(second.isHeld(now));
    BOOST_TEST(second.token() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
