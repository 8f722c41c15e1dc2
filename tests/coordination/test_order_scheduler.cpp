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
    bool wasOvertaken = false; ///< Followed an order older than one it had followed before.
    int loads = 0;

    EngineState read(TimePoint now) const
    {
        EngineState answer = state;
        answer.isLoading = now < loadedAt;
        return answer;
    }

    OrderOutcome follow(const Order &order, TimePoint now)
    {
        if (checksFencing && order.fencingToken < newestToken) {
            return OrderOutcome::Fenced;
        }
        wasOvertaken = wasOvertaken || order.fencingToken < newestToken;
        newestToken = std::max(newestToken, order.fencingToken);
        if (order.kind == OrderKind::SetRole) {
            state.role = order.value;
        } else if (order.kind == OrderKind::LoadAdapter) {
            state.adapters.push_back(order.value);
        } else {
            state.model = order.model;
            state.weightsVersion = order.value;
            state.adapters.clear();
            loadedAt = now + loadTime;
            ++loads;
        }
        return OrderOutcome::Accepted;
    }
};

std::vector<DesiredEngine> desiredEngines(std::size_t count, const std::string &version)
{
    std::vector<DesiredEngine> desired(count);
    for (std::size_t i = 0; i < count; ++i) {
        desired[i] = {"e" + std::to_string(i), i % 2 == 0, {"m", version, {"georgian"}, "decode", false}};
    }
    return desired;
}

/// Hosts that compete for the lease and engines that follow orders, in virtual time.
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
            turn(i);
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
        hosts_[host].awake = now() + time;
    }

    /// The host that may act as leader now(); the number of hosts if none may.
    std::size_t leader() const
    {
        const auto found = std::find_if(hosts_.begin(), hosts_.end(), [this](const Host &host) { return host.lease->isHeld(now()); });
        return static_cast<std::size_t>(found - hosts_.begin());
    }

    bool isAsWanted() const
    {
        return std::all_of(desired.begin(), desired.end(), [this](const DesiredEngine &engine) {
            const EngineState &state = engines.at(engine.target).state;
            return state.weightsVersion == engine.state.weightsVersion && state.adapters == engine.state.adapters && state.role == "decode";
        });
    }

    bool wasOvertaken() const
    {
        return std::any_of(engines.begin(), engines.end(), [](const auto &engine) { return engine.second.wasOvertaken; });
    }

    /// One of the faults at random, which end within 20 s.
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
    std::size_t mostLoading = 0;
    std::size_t mostLeaders = 0;
    std::size_t lossPercent = 0;
    Duration slowest = 2ms; ///< Of a message.
    std::map<std::string, TimePoint> noticedAt; ///< When an engine's load was last announced.
    Duration shortestNotice = Duration::max(); ///< Between an announcement and its order.

private:
    struct Host
    {
        std::unique_ptr<LeaseHolder> lease;
        OrderScheduler scheduler;
        TimePoint awake;
    };

    void onHost(std::size_t i, Duration delay, const std::function<void()> &action)
    {
        time_.later(delay, [this, i, action] {
            if (hosts_[i].awake > now()) {
                onHost(i, hosts_[i].awake - now(), action);
            } else {
                action();
            }
        });
    }

    Duration delay()
    {
        return Duration(1 + randomBelow(random_, static_cast<std::size_t>(slowest.count())));
    }

    bool isLost()
    {
        return randomBelow(random_, 100) < lossPercent;
    }

    void turn(std::size_t i)
    {
        Host &host = hosts_[i];
        host.lease->step(now());
        const OrderPlan plan = host.scheduler.plan(*host.lease, now());
        if (plan.isSuperseded) {
            host.lease->release(now());
        }
        for (const std::string &target : plan.reads) {
            time_.later(delay(), [this, i, target] {
                const EngineState state = engines[target].read(now());
                onHost(i, delay(), [this, i, target, state] { hosts_[i].scheduler.onState(target, state, now()); });
            });
        }
        for (const std::string &target : plan.loadNotices) {
            noticedAt[target] = now();
        }
        for (const Order &order : plan.orders) {
            if (order.kind == OrderKind::LoadWeights) {
                const auto noticed = noticedAt.find(order.target);
                shortestNotice = std::min(shortestNotice, noticed == noticedAt.end() ? Duration::zero() : now() - noticed->second);
            }
            onHost(i, 1ms, [this, i, order] { send(i, order); });
        }
        onHost(i, 50ms, [this, i] { turn(i); });
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
        time_.later(delay(), [this, i, order] {
            const OrderOutcome outcome = engines[order.target].follow(order, now());
            if (!isLost()) {
                onHost(i, delay(), [this, i, order, outcome] { hosts_[i].scheduler.onOutcome(order, outcome, now()); });
            }
        });
    }

    void observe()
    {
        const auto loading = std::count_if(engines.begin(), engines.end(), [this](const auto &engine) { return now() < engine.second.loadedAt; });
        const auto leaders = std::count_if(hosts_.begin(), hosts_.end(), [this](const Host &host) { return host.lease->isHeld(now()); });
        mostLoading = std::max(mostLoading, static_cast<std::size_t>(loading));
        mostLeaders = std::max(mostLeaders, static_cast<std::size_t>(leaders));
    }

    VirtualTime time_{1h};
    Random random_;
    std::vector<Host> hosts_;
};

/// A leader in the hands of the test, with all engines read and as wanted but the first, which is empty.
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

BOOST_AUTO_TEST_CASE(enginesEndAsWantedWhateverFails)
{
    // Hosts are paused, the store goes down or loses its answers, orders and their answers get lost or come seconds
    // late, engines come back empty and tickets change the version, all at once. An engine left with old weights would
    // serve old figures, and one that follows a late order would go back to them.
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        OrderOptions options;
        options.loadNotice = seed % 4 < 2 ? Duration::zero() : Duration(180ms);
        Deployment deployment(3, 8, seed, options);
        deployment.lossPercent = seed % 3 * 10;
        deployment.slowest = seed % 2 == 0 ? Duration(2s) : Duration(2ms);
        for (int fault = 0; fault < 40; ++fault) {
            deployment.run(2s);
            deployment.fault();
        }
        deployment.store.isDown = false;
        deployment.store.losesAnswers = false;
        deployment.lossPercent = 0;
        deployment.run(150s);
        BOOST_REQUIRE_MESSAGE(deployment.isAsWanted(), "seed " << seed << " leaves an engine otherwise");
        BOOST_REQUIRE_MESSAGE(deployment.mostLeaders == 1, "seed " << seed << " has " << deployment.mostLeaders << " leaders");
        BOOST_REQUIRE_MESSAGE(!deployment.wasOvertaken(), "seed " << seed << ": an engine followed an older order");
        BOOST_REQUIRE_MESSAGE(deployment.mostLoading <= 3, "seed " << seed << ": " << deployment.mostLoading << " loads at once");
        BOOST_REQUIRE_MESSAGE(deployment.shortestNotice >= options.loadNotice, "seed " << seed << ": an engine was ordered to load too soon");
    }
}

BOOST_AUTO_TEST_CASE(threeLoadAtOnceAndAllAreDoneSoon)
{
    // A ticket changes the version of all engines. Were all to load at once the weight store would slow every one down.
    Deployment deployment(1, 18);
    deployment.run(20s);
    BOOST_TEST(deployment.isAsWanted());
    BOOST_TEST(deployment.mostLoading == 3);
    deployment.setVersion("v2");
    deployment.run(10s);
    BOOST_TEST(deployment.isAsWanted());
    BOOST_TEST(deployment.mostLoading == 3);
    for (const auto &[name, engine] : deployment.engines) {
        BOOST_TEST(engine.loads == 2, name << " loaded " << engine.loads << " times");
    }
}

BOOST_AUTO_TEST_CASE(aLoadIsAnnouncedBeforeItIsOrdered)
{
    // Long prompts wait in every engine when new weights are named. What waits in an engine that is told to load is declined, goes to
    // another that has its turn next, and its caller waits a second for nothing. With the notice nothing new is sent there, and what
    // waits has begun by the time of the order.
    OrderOptions options;
    options.loadNotice = 180ms;
    Deployment deployment(1, 18, 0, options);
    deployment.run(20s);
    deployment.setVersion("v2");
    deployment.run(8s);
    BOOST_TEST(deployment.isAsWanted());
    BOOST_TEST(deployment.noticedAt.size() == 18U);
    BOOST_TEST(toMillis(deployment.shortestNotice) >= 180);
    BOOST_TEST(deployment.mostLoading == 3);
}

BOOST_AUTO_TEST_CASE(onlyEnginesThatCheckTokensAreOrderedAtOnce)
{
    // The leader before may have sent an order just before its lease lapsed. An engine that does not check tokens would
    // follow it after ours.
    Deployment deployment(1, 2);
    deployment.run(11s);
    BOOST_TEST(deployment.engines["e0"].loads == 1);
    BOOST_TEST(deployment.engines["e1"].loads == 0);
    deployment.run(5s);
    BOOST_TEST(deployment.engines["e1"].loads == 1);
}

BOOST_AUTO_TEST_CASE(aPausedLeaderWakesAndSendsNothing)
{
    // A leader is paused with orders in its hands, its lease lapses and another host leads. On waking it would undo what
    // the new leader has ordered since.
    Deployment deployment(2, 4);
    deployment.run(30s);
    const std::size_t first = deployment.leader();
    BOOST_REQUIRE(first < 2);
    deployment.pause(first, 60s);
    deployment.run(50s);
    BOOST_TEST(deployment.leader() == 1 - first);
    deployment.run(50s);
    BOOST_TEST(deployment.leader() == 1 - first);
    BOOST_TEST(deployment.mostLeaders == 1);
}

BOOST_AUTO_TEST_CASE(anOrderIsLookedAtOnceMoreBeforeItLeaves)
{
    // Between decision and sending the host is paused, its lease ends, or a ticket wants something else.
    Leader paused(4);
    const Order old = paused.firstOrder(paused.start);
    BOOST_TEST(paused.scheduler.maySend(old, paused.lease, paused.start));
    BOOST_TEST(!paused.scheduler.maySend(old, paused.lease, paused.start + 2s));
    Leader lapsing(4);
    const Order last = lapsing.firstOrder(lapsing.start + 7900ms);
    BOOST_TEST(!lapsing.scheduler.maySend(last, lapsing.lease, lapsing.start + 8100ms));
    Leader overruled(4);
    const Order stale = overruled.firstOrder(overruled.start);
    overruled.scheduler.setDesired(desiredEngines(4, "v2"), overruled.start);
    BOOST_TEST(!overruled.scheduler.maySend(stale, overruled.lease, overruled.start));
}

BOOST_AUTO_TEST_CASE(aReadAskedBeforeAnOrderTellsNothingOfIt)
{
    // The answer to an earlier read comes after the order's. Taken for the present state it would have the engine load
    // the same weights again.
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

BOOST_AUTO_TEST_CASE(anOrderWhoseAnswerWasLostIsNotRepeatedBlindly)
{
    // The engine loads, but its answer gets lost. A second order would make it load again and drop its warm cache.
    Deployment deployment(1, 2);
    deployment.lossPercent = 0;
    deployment.run(14s);
    deployment.setVersion("v2");
    deployment.lossPercent = 50;
    deployment.run(60s);
    deployment.lossPercent = 0;
    deployment.run(60s);
    BOOST_TEST(deployment.isAsWanted());
    for (const auto &[name, engine] : deployment.engines) {
        BOOST_TEST(engine.loads == 2, name << " loaded " << engine.loads << " times");
    }
}

BOOST_AUTO_TEST_CASE(anEngineThatRevertsIsOrderedAgainButNotWithoutEnd)
{
    // An engine falls back to its old role each time, perhaps by a rule of its own. It is ordered again, ever more
    // rarely, for each order interrupts its work.
    Deployment deployment(1, 1);
    deployment.run(5s);
    BOOST_TEST(deployment.isAsWanted());
    const std::size_t before = deployment.orders;
    for (int second = 0; second < 120; ++second) {
        deployment.engines["e0"].state.role = "prefill";
        deployment.run(1s);
    }
    BOOST_TEST(deployment.orders > before + 3);
    BOOST_TEST(deployment.orders < before + 12);
    deployment.run(60s);
    BOOST_TEST(deployment.isAsWanted());
}

BOOST_AUTO_TEST_CASE(aNewLeaderCountsLoadsItDidNotStart)
{
    // The leader before started loads and died. Its successor would start three more beside them.
    Leader leader(6);
    OrderScheduler &scheduler = leader.scheduler;
    const LeaseHolder &lease = leader.lease;
    const TimePoint settled = leader.start;
    BOOST_TEST(scheduler.plan(lease, settled).reads.size() == 6);
    scheduler.onState("e0", {}, settled);
    scheduler.onState("e2", {}, settled);
    BOOST_TEST(scheduler.plan(lease, settled).orders.empty());
    scheduler.onState("e4", {"m", "v1", {}, "", true}, settled);
    scheduler.onState("e1", {}, settled);
    BOOST_TEST(scheduler.plan(lease, settled).orders.empty());
    scheduler.onState("e3", {}, settled);
    BOOST_TEST(scheduler.plan(lease, settled).orders.size() == 1);
}

BOOST_AUTO_TEST_CASE(aFencedOrderEndsTheLeadership)
{
    // Another host leads already, and this one notices it only by an engine that has seen the newer token.
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
