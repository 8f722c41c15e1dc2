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

/// A host that has been leader since `start`.
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

/// Engines that announce which weights they have.
std::vector<DesiredEngine>
desiredEngines(std::size_t count, const std::string &version, const std::string &announced, std::optional<TimePoint> due, bool checksFencing = true)
{
    std::vector<DesiredEngine> desired;
    for (std::size_t i = 0; i < count; ++i) {
        DesiredEngine engine;
        engine.target = "e" + std::to_string(i);
        engine.checksFencing = checksFencing;
        engine.state = {{{"m", version, {}, due}}, {}, false};
        engine.announced = EngineState{{{"m", announced, {}}}, {}, false};
        desired.push_back(engine);
    }
    return desired;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrderRoundsTest)

BOOST_AUTO_TEST_CASE(concurrentLoadsFollowTheTimeLeft)
{
    // A leader takes over four seconds after new weights were released. With three engines at a time, and answers that run for two seconds,
    // most of fourteen engines would not have loaded by the deadline; after it they must not serve, and the few others are overloaded.
    const auto selectedWith = [](Duration left) {
        OrderOptions options;
        options.loadNotice = 300ms;
        Leader leader(options);
        leader.scheduler.setDesired(desiredEngines(14, "v2", "v1", start + left), start);
        return leader.scheduler.plan(leader.lease, start).loadNotices.size();
    };
    BOOST_TEST(selectedWith(60s) == 3U);
    BOOST_TEST(selectedWith(5s) == 7U);
    BOOST_TEST(selectedWith(1s) == 14U);
    BOOST_TEST(selectedWith(-1s) == 14U);
}

BOOST_AUTO_TEST_CASE(concurrentLoadsFollowTheRoundTime)
{
    // If answers run for eight seconds, a round takes as long; planned with two seconds, the last engines would miss the deadline.
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

BOOST_AUTO_TEST_CASE(anEngineOrderedByAnotherHolderWaitsForTheHandoverDelay)
{
    // A leader loses the store and another takes over while half of the engines wait for new weights. Engines that do not check fencing
    // tokens must not receive orders of both within a short time; engines that the first leader never ordered should not have to wait.
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

BOOST_AUTO_TEST_CASE(aLeaderThatHasJustStartedWaitsTheHandoverDelay)
{
    // A host that starts and becomes leader at once cannot know what the previous leader ordered.
    OrderOptions options;
    options.handoverDelay = 3s;
    options.listeningSince = start - 1s;
    Leader leader(options);
    leader.scheduler.setDesired(desiredEngines(1, "v2", "v1", std::nullopt, false), start);
    BOOST_TEST(leader.scheduler.plan(leader.lease, start + 1999ms).orders.empty());
    BOOST_TEST(leader.scheduler.plan(leader.lease, start + 2s).orders.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
