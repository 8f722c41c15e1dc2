#define BOOST_TEST_MODULE endless_call_answers
#include <algorithm>
#include <atomic>
#include <fstream>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "coordination/memory_store.h"
#include "drivers/http_connection.h"
#include "gateway/weights_duty.h"
#include "platform/engine_control.h"
#include "platform/kv_store.h"
#include "tests/stand_ins/scripted_target.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// What one connection may be sent before it must have been closed; a call takes less than a second.
constexpr std::size_t maxSentBytes = 60'000'000;

/// Growth of this process while up to sixteen calls run at once, with the buffers of the kernel's loopback left out.
constexpr std::size_t maxGrowthBytes = 40'000'000;

/// Memory of this process in RAM.
std::size_t residentBytes()
{
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Runs an action on a thread of its own; returns the most memory in bytes by which this process grew meanwhile.
std::size_t growthDuring(const std::function<void()> &action)
{
    const std::size_t before = residentBytes();
    std::size_t most = before;
    std::atomic<bool> hasEnded = false;
    std::thread thread([&] {
        action();
        hasEnded = true;
    });
    while (!hasEnded) {
        most = std::max(most, residentBytes());
        std::this_thread::sleep_for(2ms);
    }
    thread.join();
    return most - before;
}

/// An endpoint that answers each call with a body without end.
struct EndlessServer
{
    std::atomic<int> calls = 0;
    std::string framing = "Transfer-Encoding: chunked\r\n";
    std::function<bool(const ScriptedTarget::Request &)> isEndless = [](const auto & /*request*/) { return true; };
    ScriptedTarget target{[this](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
        if (!isEndless(request)) {
            const std::string report = R"({"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0})";
            connection.answer(request, 200, report);
            return;
        }
        ++calls;
        connection.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n");
        const std::string piece = framing.empty() ? std::string(0x40000, 'x') : "40000\r\n" + std::string(0x40000, 'x') + "\r\n";
        std::size_t sent = 0;
        while (sent < maxSentBytes && !connection.waitClosed(1ms)) {
            connection.send(piece);
            sent += piece.size();
        }
    }};
};

/// A call of a host to its store.
struct StoreCall
{
    std::string name;
    std::function<bool(KvStore &)> isDone; ///< Makes the call; returns whether it succeeded.
};

std::ostream &operator<<(std::ostream &out, const StoreCall &call)
{
    return out << call.name;
}

const std::vector<StoreCall> storeCalls{
    {"get", [](KvStore &store) { return store.get("op/config").status == StoreStatus::Ok; }},
    {"list", [](KvStore &store) { return store.list("servers/").status == StoreStatus::Ok; }},
    {"watch", [](KvStore &store) { return store.watch("servers/", 7, 1s).status == StoreStatus::Ok; }},
    {"confirm", [](KvStore &store) { return store.confirm("op/config", 7).status == StoreStatus::Ok; }},
    {"write", [](KvStore &store) { return store.compareAndSwap("k", 0, "v", 0).status == StoreStatus::Ok; }},
    {"lease", [](KvStore &store) { return store.grantLease(3s).status == StoreStatus::Ok; }},
    {"renewal", [](KvStore &store) { return store.keepAlive(1).status == StoreStatus::Ok; }},
};

/// A leader before sixteen engines at one address; the calls for which `server` is endless never end.
void leadBeforeEngines(EndlessServer &server, Duration time)
{
    MemoryStore store;
    PlatformEngineControl control;
    WeightsDuty::Options options;
    options.leaderKey = "leader";
    options.holder = "a/1";
    options.holderName = "a";
    options.lease.timeToLive = 3s;
    options.lease.margin = 300ms;
    options.lease.settleTime = Duration::zero();
    options.orders.maxLoadFraction = 1;
    options.recordsPrefix = "weights/";
    options.deadline = 10s;
    options.beforeLoad = [](const LoadNotice & /*notice*/) {};
    WeightsDuty duty(store, control, options);
    auto targets = std::make_shared<TargetMap>();
    for (int i = 0; i < 16; ++i) {
        Target target;
        target.id = "e" + std::to_string(i);
        target.service = "s";
        target.address = {"127.0.0.1", server.target.port()};
        target.models = {{"m", 1}};
        targets->emplace(target.id, target);
    }
    duty.setTargets(targets);
    duty.setPublishedWeights({{"m", 2, BootClock::now()}});
    duty.setHosts({"a"}, 1);
    duty.setLeader("");
    duty.start();
    std::this_thread::sleep_for(time);
    duty.stop();
    duty.join();
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessCallAnswersTest)

// Guards against a faulty store whose answer to one call fills the memory of the host.
BOOST_DATA_TEST_CASE(aCallToTheStoreEndsWhereItsAnswerDoesNot, boost::unit_test::data::make(storeCalls), call)
{
    for (const char *framing : {"Transfer-Encoding: chunked\r\n", ""}) {
        EndlessServer server;
        server.framing = framing;
        bool isDone = true;
        const std::size_t growth = growthDuring([&] {
            KvStore store({.address = {"127.0.0.1", server.target.port()}});
            isDone = call.isDone(store);
        });
        BOOST_TEST(!isDone);
        BOOST_TEST(growth < maxGrowthBytes);
        BOOST_TEST(server.calls.load() >= 1);
    }
}

// Guards against more changes than fit into one answer, which must lead to reading the list, and at once no more than once.
BOOST_AUTO_TEST_CASE(aWatchThatReturnsTooMuchIsFollowedByAList)
{
    EndlessServer server;
    KvStore store({.address = {"127.0.0.1", server.target.port()}});
    BOOST_TEST((store.watch("servers/", 7, 1s).status == StoreStatus::NotFound));
    BOOST_TEST((store.watch("servers/", 7, 1s).status == StoreStatus::Unavailable));
}

// Guards against sixteen engines whose reports, or answers to orders, never end and fill the memory of the leader.
BOOST_AUTO_TEST_CASE(engineAnswersThatNeverEndLeaveTheLeaderItsMemory)
{
    for (const std::string_view method : {"GET ", "POST "}) {
        EndlessServer server;
        server.isEndless = [method](const ScriptedTarget::Request &request) { return request.head.starts_with(method); };
        const std::size_t growth = growthDuring([&server] { leadBeforeEngines(server, 1500ms); });
        BOOST_TEST(server.calls.load() >= 1);
        BOOST_TEST(growth < maxGrowthBytes);
    }
}

// Guards against an endless body that is taken for an answer, and against a bound that a sound answer of that size meets.
BOOST_AUTO_TEST_CASE(aBodyIsReadUpToItsBound)
{
    ScriptedTarget target(
        [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { connection.answer(request, 200, std::string(1'000, 'x')); });
    for (const std::size_t bound : {std::size_t{999}, std::size_t{1'000}}) {
        const auto connection = HttpConnection::open({"127.0.0.1", target.port()}, 1s);
        BOOST_REQUIRE(connection != nullptr);
        BOOST_TEST(connection->call("GET", "/x", {}, BootClock::now() + 2s, {.maxBodyBytes = bound}).has_value() == (bound == 1'000));
        BOOST_TEST(connection->isAnswerTooLarge() == (bound == 999));
    }
}

BOOST_AUTO_TEST_SUITE_END()
