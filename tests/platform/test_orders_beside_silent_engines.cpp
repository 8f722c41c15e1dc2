#define BOOST_TEST_MODULE orders_beside_silent_engines
#include <atomic>
#include <set>

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include "coordination/memory_store.h"
#include "gateway/weights_duty.h"
#include "platform/engine_control.h"
#include "tests/stand_ins/scripted_target.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr int silentEngines = 40;
constexpr int answeringEngines = 10;
constexpr Duration patience = 15s;

/// A leader before engines of which most take connections and never answer.
struct LeaderFixture
{
    LeaderFixture()
        : duty(store, control, options())
    {
        auto list = std::make_shared<TargetMap>();
        for (int i = 0; i < silentEngines + answeringEngines; ++i) {
            const bool isSilent = i < silentEngines;
            Target target;
            target.id = (isSilent ? "a-silent-" : "engine-") + std::to_string(i);
            target.service = "s";
            target.address = {"127.0.0.1", isSilent ? silent.address().port() : answering.port()};
            target.models = {{"m", 1}};
            target.incarnation = 1;
            list->emplace(target.id, target);
        }
        duty.setTargets(list);
        duty.setHosts({"a"}, 1);
        duty.setLeader("");
        duty.start();
    }

    ~LeaderFixture()
    {
        duty.stop();
        duty.join();
    }

    static WeightsDuty::Options options()
    {
        WeightsDuty::Options options;
        options.leaderKey = "leader";
        options.holder = "a/1";
        options.holderName = "a";
        options.lease.timeToLive = 3s;
        options.lease.margin = 300ms;
        options.lease.settleTime = Duration::zero();
        options.orders.maxLoadFraction = 1;
        options.orders.maxReportAge = 100ms;
        options.orders.loadNotice = 100ms;
        options.recordsPrefix = "weights/";
        options.deadline = 10s;
        options.beforeLoad = [](const LoadNotice & /*notice*/) {};
        return options;
    }

    std::set<std::string> ordered() const
    {
        std::set<std::string> targets;
        for (const ScriptedTarget::Request &request : answering.received()) {
            if (request.head.starts_with("POST ")) {
                targets.insert(request.field("Lovageloft-Expect-Instance"));
            }
        }
        return targets;
    }

    MemoryStore store;
    PlatformEngineControl control;
    Poco::Net::ServerSocket silent{Poco::Net::SocketAddress("127.0.0.1", 0), 512};
    std::atomic<int> reportedVersion = 1;
    ScriptedTarget answering{[this](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
        const bool isOrder = request.head.starts_with("POST ");
        const std::string report =
            R"({"stage":"colocated","models":[{"name":"m","version":)" + std::to_string(reportedVersion) + R"(,"adapters":[]}],"busy":false,"seq":0})";
        connection.answer(request, isOrder ? 202 : 200, isOrder ? std::string_view() : std::string_view(report));
    }};
    WeightsDuty duty;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrdersBesideSilentEnginesTest, LeaderFixture)

BOOST_AUTO_TEST_CASE(enginesThatAnswerDoNotWaitForThoseThatAreSilent)
{
    // Guards against weights that nobody loads for as long as a leader waits for each silent engine in turn.
    const TimePoint namedAt = BootClock::now();
    duty.setPublishedWeights({{"m", 2, namedAt}});
    while (ordered().size() < answeringEngines && BootClock::now() < namedAt + patience) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(ordered().size() == std::size_t{answeringEngines});
    BOOST_TEST(toMillis(BootClock::now() - namedAt) < 4'000);
}

// Guards against engines that are ordered back to older weights by a leader that has not heard of the newer ones.
BOOST_AUTO_TEST_CASE(enginesWithNewerWeightsThanPublishedAreNotOrdered)
{
    reportedVersion = 3;
    duty.setPublishedWeights({{"m", 2, BootClock::now()}});
    std::this_thread::sleep_for(3s);
    BOOST_TEST(ordered().empty());
}

// Guards against weights that nobody loads while the leader has lost its links to the engines and other hosts have not.
BOOST_AUTO_TEST_CASE(aLeaderThatReachesNoEngineResigns)
{
    const auto waitUntilHeld = [this](bool isHeld) {
        const TimePoint limit = BootClock::now() + patience;
        while ((duty.leaseUntil() > BootClock::now()) != isHeld && BootClock::now() < limit) {
            std::this_thread::sleep_for(10ms);
        }
        return (duty.leaseUntil() > BootClock::now()) == isHeld;
    };
    BOOST_REQUIRE(waitUntilHeld(true));
    duty.setCanOrder(false);
    BOOST_TEST(waitUntilHeld(false));
    duty.setLeader("");
    std::this_thread::sleep_for(1s);
    BOOST_TEST((duty.leaseUntil() < BootClock::now()));
    duty.setCanOrder(true);
    duty.setLeader("");
    BOOST_TEST(waitUntilHeld(true));
}

BOOST_AUTO_TEST_SUITE_END()
