#include <boost/test/unit_test.hpp>

#include "tests/suspicion/suspicion_fleet.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t silentEngines = 22;

void setQuarterSilent(SuspicionFleet &fleet, bool isSilent)
{
    for (std::size_t engine = 0; engine < silentEngines; ++engine) {
        fleet.setSilent(engine, isSilent);
    }
}

/// Requests that reach silent engines within 5 s after a quarter of the engines has fallen silent.
std::size_t sentToSilent(const SuspicionFleet::Options &options)
{
    SuspicionFleet fleet(options);
    fleet.runFor(3s);
    BOOST_TEST(fleet.suspicions() == 0U);
    fleet.datagrams = 0;
    setQuarterSilent(fleet, true);
    fleet.runFor(1s);
    const std::size_t inFirstSecond = fleet.sentToSilent;
    fleet.runFor(4s);
    BOOST_TEST_MESSAGE("to silent engines: " << fleet.sentToSilent << ", of them in the first second: " << inFirstSecond << ", probes: " << fleet.probesToSilent
                                             << "; datagrams a second: " << fleet.datagrams / 5);
    return fleet.sentToSilent;
}

std::size_t mostInASecond(const SuspicionFleet &fleet)
{
    std::size_t most = 0;
    for (const auto &[engine, times] : fleet.fullNotices) {
        for (auto first = times.begin(); first != times.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + 1s) - first));
        }
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SuspicionsOfAFleetTest)

BOOST_AUTO_TEST_CASE(fewRequestsReachSilentEngines)
{
    // A quarter of the engines falls silent at once. Without notices each host learns it by a request of its own at every engine.
    const std::size_t alone = sentToSilent({.hasNotices = false});
    BOOST_TEST(sentToSilent({}) * 5 < alone * 2);
    BOOST_TEST(sentToSilent({.loss = 0.1, .delay = 50ms}) * 5 < alone * 2);
}

BOOST_AUTO_TEST_CASE(anEngineThatWorksAgainIsBackInUse)
{
    // An engine that recovers but stays suspected at some hosts is missing from the capacity.
    for (const Duration silence : {1s, 2s, 3s, 7s}) {
        SuspicionFleet fleet({.loss = 0.1, .delay = 50ms});
        fleet.runFor(2s);
        setQuarterSilent(fleet, true);
        fleet.runFor(silence);
        BOOST_TEST(fleet.suspicions() > 50 * silentEngines);
        setQuarterSilent(fleet, false);
        fleet.runFor(1500ms);
        BOOST_TEST(fleet.suspicions() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(hostsWithoutLinksAndPausedHostsAccuseNobody)
{
    // A host whose own links are broken, or that was paused, sees every engine silent and would take all of them from the fleet.
    SuspicionFleet fleet({});
    fleet.runFor(2s);
    for (std::size_t host = 0; host < 10; ++host) {
        fleet.setLinksCut(host, true);
        fleet.pause(10 + host, (host + 1) * 300ms);
    }
    for (std::size_t host = 0; host < 10; ++host) {
        fleet.runFor(300ms);
        fleet.setLinksCut(host, false);
    }
    fleet.runFor(2s);
    BOOST_TEST(fleet.accusations == 0U);
}

BOOST_AUTO_TEST_CASE(noticesOfFullEnginesAreBounded)
{
    // At 1.2 times the capacity of the engines, notices at every rejection would fill the links of small hosts.
    SuspicionFleet alone({.maxStreamTime = 4800ms, .hasNotices = false});
    alone.runFor(20s);
    BOOST_TEST_MESSAGE("alone: rejected " << alone.rejected << ", served " << alone.served);
    for (const Duration delay : {1ms, 50ms}) {
        SuspicionFleet fleet({.maxStreamTime = 4800ms, .loss = 0.1, .delay = delay});
        fleet.runFor(20s);
        BOOST_TEST_MESSAGE("rejected " << fleet.rejected << ", served " << fleet.served << ", most notices in a second " << mostInASecond(fleet)
                                       << ", datagrams a second " << fleet.datagrams / 20);
        BOOST_TEST(mostInASecond(fleet) <= 10U);
        BOOST_TEST(static_cast<double>(fleet.served) > 0.97 * static_cast<double>(alone.served));
    }
}

BOOST_AUTO_TEST_SUITE_END()
