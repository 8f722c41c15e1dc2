#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/order_scheduler.h"
#include "tests/coordination/lossy_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration loadTime = 400ms;
constexpr Duration stepTime = 50ms;

/// An engine with several models that loads one at a time.
struct Engine
{
    std::map<std::string, int> versions{{"m0", 1}, {"m1", 1}};
    std::string refusedModel; ///< Orders for it are refused.
    std::string loadingModel;
    int loadingVersion = 0;
    TimePoint loadedAt;
    std::vector<std::string> loads; ///< "MODEL:VERSION" of each accepted order.

    EngineState state() const
    {
        EngineState state{{}, {}, !loadingModel.empty()};
        for (const auto &[model, version] : versions) {
            state.models.push_back({model, std::to_string(version), {}});
        }
        return state;
    }

    OrderOutcome execute(const Order &order, TimePoint now)
    {
        if (!loadingModel.empty() || order.model == refusedModel) {
            return OrderOutcome::Refused;
        }
        loadingModel = order.model;
        loadingVersion = std::stoi(order.value);
        loadedAt = now + loadTime;
        loads.push_back(order.model + ':' + order.value);
        return OrderOutcome::Accepted;
    }

    void finishLoad(TimePoint now)
    {
        if (!loadingModel.empty() && now >= loadedAt) {
            versions[loadingModel] = loadingVersion;
            loadingModel.clear();
        }
    }
};

/// Engines with two models, and a leader that keeps to the versions named. Engines announce their state, or are read.
struct Deployment
{
    explicit Deployment(bool announces = true)
        : isAnnouncing(announces)
    {
        changeLeader("h0");
    }

    void changeLeader(const std::string &name)
    {
        if (lease) {
            lease->release(now);
            lease->step(now);
        }
        lease = std::make_unique<LeaseHolder>(store, "p/orders", name, LeaseOptions{});
        OrderOptions options;
        options.loadNotice = 150ms;
        scheduler = OrderScheduler(options);
        for (int i = 0; i < 3; ++i) {
            lease->step(now);
        }
        BOOST_REQUIRE(lease->isHeld(now));
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += stepTime) {
            step();
        }
    }

    bool areLoaded() const
    {
        return std::all_of(engines.begin(), engines.end(), [this](const auto &engine) {
            return std::all_of(named.begin(), named.end(), [&](const auto &weights) {
                const auto served = engine.second.versions.find(weights.first);
                return served == engine.second.versions.end() || served->second == weights.second;
            });
        });
    }

    TimePoint now{1h};
    LossyStore store{[this] { return now; }};
    bool isAnnouncing;
    std::map<std::string, int> named; ///< Newest version by model.
    std::map<std::string, Engine> engines{{"e0", {}}, {"e1", {}}, {"e2", {}}};
    std::vector<LoadNotice> notices;
    std::unique_ptr<LeaseHolder> lease;
    OrderScheduler scheduler;

private:
    void step()
    {
        lease->step(now);
        std::vector<DesiredEngine> desired;
        for (auto &[id, engine] : engines) {
            engine.finishLoad(now);
            DesiredEngine wanted{id, true, {}, std::nullopt};
            if (isAnnouncing) {
                wanted.announced = EngineState{engine.state().models, {}, false};
            }
            for (const auto &[model, version] : named) {
                if (engine.versions.contains(model)) {
                    wanted.state.models.push_back({model, std::to_string(version), {}});
                }
            }
            desired.push_back(std::move(wanted));
        }
        scheduler.setDesired(desired, now);
        const OrderPlan plan = scheduler.plan(*lease, now);
        notices.insert(notices.end(), plan.loadNotices.begin(), plan.loadNotices.end());
        for (const Order &order : plan.orders) {
            scheduler.onOutcome(order, engines.at(order.target).execute(order, now), now);
        }
        for (const std::string &target : plan.reads) {
            scheduler.onState(target, engines.at(target).state(), now);
        }
    }
};

using Loads = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(OrderModelsTest)

// Guards against engines with two models that never load new weights of the first, once the second has loaded its own.
BOOST_AUTO_TEST_CASE(eachModelOfAnEngineGetsItsNewWeights)
{
    for (const bool announces : {true, false}) {
        Deployment deployment(announces);
        deployment.named = {{"m1", 2}};
        deployment.run(12s);
        BOOST_TEST(deployment.areLoaded());
        deployment.named["m0"] = 2;
        deployment.run(12s);
        BOOST_TEST(deployment.areLoaded());
        for (const auto &[id, engine] : deployment.engines) {
            BOOST_TEST(engine.loads == Loads({"m1:2", "m0:2"}), boost::test_tools::per_element());
        }
    }
}

// Guards against a second load of the same weights, or a skipped one, where both models of an engine have new weights at the same time.
BOOST_AUTO_TEST_CASE(modelsNamedAtOnceLoadOnceEach)
{
    for (const bool announces : {true, false}) {
        Deployment deployment(announces);
        deployment.named = {{"m0", 2}, {"m1", 2}};
        deployment.run(20s);
        BOOST_TEST(deployment.areLoaded());
        for (const auto &[id, engine] : deployment.engines) {
            BOOST_TEST(engine.loads.size() == 2U);
        }
        BOOST_TEST(deployment.notices.size() == 6U);
    }
}

// Guards against orders for a model that has no published weights, which an engine refuses.
BOOST_AUTO_TEST_CASE(aModelThatWasNeverNamedIsLeftAlone)
{
    Deployment deployment(false);
    deployment.named = {{"m1", 2}};
    deployment.run(30s);
    for (const auto &[id, engine] : deployment.engines) {
        BOOST_TEST(engine.loads == Loads({"m1:2"}), boost::test_tools::per_element());
    }
    BOOST_TEST(std::all_of(deployment.notices.begin(), deployment.notices.end(), [](const LoadNotice &notice) { return notice.model == "m1"; }));
}

// Guards against a model that an engine refuses to load and that keeps its other models from their new weights.
BOOST_AUTO_TEST_CASE(aRefusedModelDoesNotHoldBackAnother)
{
    Deployment deployment;
    deployment.engines["e0"].refusedModel = "m0";
    deployment.named = {{"m0", 2}};
    deployment.run(5s);
    deployment.named["m1"] = 2;
    deployment.run(10s);
    BOOST_TEST(deployment.engines["e0"].versions["m1"] == 2);
    deployment.engines["e0"].refusedModel.clear();
    deployment.run(40s);
    BOOST_TEST(deployment.areLoaded());
}

// Guards against a list of models that changes while one of them loads, and leaves the engine without an order or with a wrong one.
BOOST_AUTO_TEST_CASE(anEngineThatGetsOrLosesAModelIsBroughtToTheNamedWeights)
{
    Deployment deployment;
    deployment.engines["e0"].versions = {{"m0", 1}};
    deployment.named = {{"m0", 2}, {"m1", 2}};
    deployment.run(300ms);
    deployment.engines["e0"].versions["m1"] = 1;
    deployment.engines["e1"].versions.erase("m1");
    deployment.engines["e1"].refusedModel = "m1";
    deployment.run(20s);
    BOOST_TEST(deployment.areLoaded());
    BOOST_TEST((deployment.engines["e0"].versions == std::map<std::string, int>{{"m0", 2}, {"m1", 2}}));
}

// Guards against a leader that takes over between the loads of two models and repeats the first or forgets the second.
BOOST_AUTO_TEST_CASE(aNewLeaderGoesOnBetweenTheLoadsOfTwoModels)
{
    for (const bool announces : {true, false}) {
        for (Duration before = 0ms; before < 3s; before += 250ms) {
            Deployment deployment(announces);
            deployment.named = {{"m0", 2}, {"m1", 2}};
            deployment.run(before);
            deployment.changeLeader("h1");
            deployment.run(20s);
            BOOST_TEST(deployment.areLoaded());
            for (const auto &[id, engine] : deployment.engines) {
                BOOST_TEST(engine.loads.size() == 2U);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
