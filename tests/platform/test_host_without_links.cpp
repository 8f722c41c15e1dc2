#define BOOST_TEST_MODULE host_without_links
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;
using StandIns::LinkMode;

namespace
{

constexpr std::size_t cutHost = 0;

/// The time after a cut from which requests have to be served again, and for which they are counted.
constexpr Duration settleTime = 1s;
constexpr Duration countedTime = 2s;

/// Of the first attempts at a host without links, relative to the others where these have room.
constexpr double goal = 0.95;

struct CutFixture : FleetFixture
{
    CutFixture()
    {
        for (const std::string id : {"a", "b", "c", "d"}) {
            addTarget(id, [](Connection &connection, const Request &request) {
                if (contains(request.head, "/slow ")) {
                    std::this_thread::sleep_for(200ms);
                }
                connection.answer(request, 200, "whole");
            });
        }
        BOOST_REQUIRE(servedShare(cutHost, "GET", "/safe/x", 300ms) == 1);
    }
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(LinkMode)

BOOST_FIXTURE_TEST_SUITE(HostWithoutLinks, CutFixture)

// Guards against a host that has lost its links to all targets and refuses all requests, while other hosts reach the same targets.
BOOST_DATA_TEST_CASE_F(CutFixture,
                       aHostThatLostItsLinksStillServes,
                       boost::unit_test::data::make({LinkMode::Reset, LinkMode::Silent, LinkMode::RefusesNew, LinkMode::LosesAnswers})
                           * boost::unit_test::data::make({std::string("GET /safe/x"), std::string("POST /once/x")}),
                       mode,
                       call)
{
    const std::string method = call.substr(0, call.find(' '));
    const std::string path = call.substr(call.find(' ') + 1);
    setLinks(cutHost, mode);
    servedShare(cutHost, method, path, settleTime);
    BOOST_TEST(servedShare(cutHost, method, path, countedTime) >= goal);
}

// Guards against requests that are quarantined on all hosts because one host lost its links while they ran.
BOOST_AUTO_TEST_CASE(requestsThatLostTheirLinkAreNotQuarantined)
{
    const std::string text = GatewayFixture::request("POST", "/once/slow", "body");
    constexpr std::size_t callerCount = 16;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([this, &text] { exchange(cutHost, text); });
    }
    std::this_thread::sleep_for(100ms);
    setLinks(cutHost, LinkMode::Reset);
    for (std::thread &caller : callers) {
        caller.join();
    }
    constexpr std::size_t otherHost = 1;
    BOOST_TEST(exchange(otherHost, text).starts_with("HTTP/1.1 200 "));
}

// Guards against a host without links that tells all others that a cache store is lost, which they reach.
BOOST_AUTO_TEST_CASE(aHostWithoutLinksDoesNotReportCacheStoresAsLost)
{
    constexpr std::size_t otherHost = 1;
    const std::string address = "10.0.0.1:80";
    const auto isUsed = [&](std::size_t host) {
        bool isUsed = false;
        onLoop(host, [&](Gateway &gateway) { isUsed = gateway.cacheStores().storeFor("z") == address; });
        return isUsed;
    };
    for (const std::size_t host : {cutHost, otherHost}) {
        onLoop(host, [&](Gateway &gateway) { gateway.cacheStores().setStores({{address, "z", 0}}); });
        onLoop(host, [&](Gateway &gateway) { gateway.cacheStores().setAlive(address, true); });
    }
    setLinks(cutHost, LinkMode::Reset);
    servedShare(cutHost, "GET", "/safe/x", 300ms);
    onLoop(cutHost, [&](Gateway &gateway) { gateway.fleet().announceCacheStore(address, false); });
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(isUsed(cutHost));
    BOOST_TEST(isUsed(otherHost));
}

// Guards against a fleet without a leader after engines that failed together have come back under other ids.
BOOST_AUTO_TEST_CASE(aHostCanOrderAgainOnceLostEnginesAreReplaced)
{
    std::atomic<bool> canOrder = true;
    const auto listEngines = [this](const std::string &prefix, std::uint16_t port) {
        auto engines = std::make_shared<TargetMap>();
        for (int i = 0; i < 4; ++i) {
            Target engine;
            engine.id = prefix + std::to_string(i);
            engine.service = "s";
            engine.address = {"127.0.0.1", port};
            engine.models = {{"m", 1}};
            engine.incarnation = 1;
            engines->emplace(engine.id, engine);
        }
        onLoop(cutHost, [engines](Gateway &gateway) { gateway.setTargets(engines); });
    };
    const auto waitUntil = [&canOrder](bool expected) {
        const TimePoint limit = BootClock::now() + 3s;
        while (canOrder != expected && BootClock::now() < limit) {
            std::this_thread::sleep_for(10ms);
        }
        return canOrder == expected;
    };
    onLoop(cutHost, [&canOrder](Gateway &gateway) { gateway.setControlListener([&canOrder](bool can) { canOrder = can; }); });
    constexpr std::uint16_t unusedPort = 1;
    listEngines("lost-", unusedPort);
    onLoop(cutHost, [](Gateway &gateway) {
        for (int i = 0; i < 4; ++i) {
            gateway.paths().onConnectResult("lost-" + std::to_string(i), ConnectResult::Refused, BootClock::now());
        }
    });
    BOOST_TEST(waitUntil(false));
    listEngines("new-", callerPort(1));
    BOOST_TEST(waitUntil(true));
    onLoop(cutHost, [](Gateway &gateway) { gateway.setControlListener([](bool) {}); });
}

BOOST_AUTO_TEST_SUITE_END()
