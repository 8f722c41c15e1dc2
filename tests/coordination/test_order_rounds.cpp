#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/order_scheduler.h"
#include "tests/coordination/lossy_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

LeaseOptions leaseOptions()
{
    LeaseOptions options;
    options.settleTime = 300ms;
    return options;
}

/// A host that has led since `start`.
struct Leader
{
    explicit Leader(const OrderOptions &options)
        : scheduler(options)
    {
        for (int step = 0; step < 3; ++step) {
            lease.step(start);
        }
    }

    LossyStore store{[] { return start; }};
    LeaseHolder lease{store, "p/orders", "h", leaseOptions()};
    OrderScheduler scheduler;
};

/// Engines that say of themselves which weights they have.
std::vector<DesiredEngine>
desiredEngines(std::size_t count, const std::string &version, const std::string &announced, std::optional<TimePoint> due, bool checksFencing = true)
{
    std::vector<DesiredEngine> desired;
    for (std::size_t i = 0; i < count; ++i) {
        DesiredEngine engine;
        engine.target = "e" + std::to_string(i);
        engine.checksFencing = checksFencing;
        engine.state = {"m", version, {}, {}, false};
        engine.announced = EngineState{"m", announced, {}, {}, false};
        engine.dueAt = due;
        desired.push_back(engine);
    }
    return desired;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrderRoundsTest)

BOOST_AUTO_TEST_CASE(asManyLoadAtOnceAsTheTimeLeftCallsFor)
{
    // A leader takes over four seconds after new weights were named. Three engines at a time, with answers that run for two seconds, would
    // leave most of fourteen behind at the deadline; from then on they serve nobody and the few that are done are overrun.
    const auto chosenWith = [](Duration left) {
        OrderOptions options;
        options.loadNotice = 300ms;
        Leader leader(options);
        leader.scheduler.setDesired(desiredEngines(14, "v2", "v1", start + left), start);
        return leader.scheduler.plan(leader.lease, start).loadNotices.size();
    };
    BOOST_TEST(chosenWith(60s) == 3U);
    BOOST_TEST(chosenWith(5s) == 7U);
    BOOST_TEST(chosenWith(1s) == 14U);
    BOOST_TEST(chosenWith(-1s) == 14U);
}

BOOST_AUTO_TEST_CASE(howLongARoundTakesIsFollowed)
{
    // Where answers run for eight seconds a round takes as long; planned with two, the last engines would miss the deadline.
    OrderOptions options;
    options.maxLoads = 1;
    Leader leader(options);
    const auto ordered = [&](TimePoint now) {
        const OrderPlan plan = leader.scheduler.plan(leader.lease, now);
        for (const Order &order : plan.orders) {
            leader.scheduler.onOutcome(order, OrderOutcome::Accepted, now);
        }
        return plan.orders.size();
    };
    leader.scheduler.setDesired(desiredEngines(10, "v2", "v1", start + 10s), start);
    BOOST_TEST(ordered(start) == 3U);
    leader.scheduler.setDesired(desiredEngines(10, "v2", "v2", start + 10s), start + 7s);
    leader.scheduler.setDesired(desiredEngines(10, "v3", "v2", start + 17s), start + 7s);
    BOOST_TEST(ordered(start + 7s) >= 6U);
}

BOOST_AUTO_TEST_CASE(anEngineThatAnotherHolderWasHeardToOrderIsLeftAloneForATurn)
{
    // A leader is cut off from the store and another takes over while half of the engines wait for new weights. Engines that check no
    // tokens have to see the orders of the two well apart; those that the first never came to should not have to wait with them.
    OrderOptions options;
    options.handoverDelay = 3s;
    Leader leader(options);
    leader.scheduler.setDesired(desiredEngines(2, "v2", "v1", std::nullopt, false), start);
    leader.scheduler.onOrderByOther("e0", start);
    BOOST_TEST(leader.scheduler.plan(leader.lease, start + 299ms).orders.empty());
    const OrderPlan soon = leader.scheduler.plan(leader.lease, start + 300ms);
    BOOST_REQUIRE(soon.orders.size() == 1U);
    BOOST_TEST(soon.orders.front().target == "e1");
    BOOST_TEST(leader.scheduler.plan(leader.lease, start + 2500ms).orders.empty());
    leader.scheduler.setDesired(desiredEngines(2, "v2", "v1", std::nullopt, false), start + 2600ms);
    const OrderPlan later = leader.scheduler.plan(leader.lease, start + 3s);
    BOOST_REQUIRE(later.orders.size() == 1U);
    BOOST_TEST(later.orders.front().target == "e0");
}

BOOST_AUTO_TEST_CASE(aLeaderThatHasJustStartedTakesEachEngineForOrdered)
{
    // A host that starts and leads at once can't have heard what the leader before ordered.
    OrderOptions options;
    options.handoverDelay = 3s;
    options.listeningSince = start - 1s;
    Leader leader(options);
    leader.scheduler.setDesired(desiredEngines(1, "v2", "v1", std::nullopt, false), start);
    BOOST_TEST(leader.scheduler.plan(leader.lease, start + 1999ms).orders.empty());
    BOOST_TEST(leader.scheduler.plan(leader.lease, start + 2s).orders.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
