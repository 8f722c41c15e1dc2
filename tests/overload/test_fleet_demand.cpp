#include <limits>

#include <boost/test/unit_test.hpp>

#include "overload/digest_schedule.h"
#include "overload/fleet_demand.h"
#include "overload/host_demand.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t service = 7;
const TimePoint start{1h};

DemandDigest digest(std::uint64_t sequence, std::vector<TeamDemand> teams)
{
    ServiceDemand demand{.service = service, .queuedSeconds = {1, 0, 0}, .offeredSeconds = {}, .oldestSeconds = 0, .teams = std::move(teams)};
    return {.sequence = sequence, .services = {demand}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetDemandTest)

// Guards against demand of hosts that were killed, and against sums that drift when digests replace each other.
BOOST_AUTO_TEST_CASE(digestsReplaceEachOtherAndExpire)
{
    FleetDemand demand("own");
    demand.setHosts(20); // Digests every 200 ms, valid for 600 ms.
    BOOST_TEST(!demand.isFleetKnown());
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        BOOST_TEST(demand.merge("b", digest(i, {{.team = i % 3, .offeredSeconds = {0.1F, 0, 0}}}), start));
    }
    BOOST_TEST(!demand.merge("b", digest(999, {}), start));
    BOOST_TEST(demand.merge("c", digest(1, {}), start + 500ms));
    demand.dropExpired(start + 600ms);
    BOOST_TEST(demand.totals(service)->queuedMicros[0] == 2'000'000);
    BOOST_TEST(demand.totals(service)->teams.size() == 1U);
    demand.dropExpired(start + 700ms);
    BOOST_TEST(demand.totals(service)->queuedMicros[0] == 1'000'000);
    BOOST_TEST(demand.totals(service)->teams.empty());
    demand.dropExpired(start + 2s);
    BOOST_TEST(!demand.totals(service));
    BOOST_TEST(!demand.isFleetKnown());
}

// Guards against one faulty host that distorts the shares of all teams.
BOOST_AUTO_TEST_CASE(impossibleFiguresAreIgnored)
{
    FleetDemand demand("own");
    for (const float figure : {-1.0F, std::numeric_limits<float>::infinity(), std::numeric_limits<float>::quiet_NaN()}) {
        BOOST_TEST(!demand.merge("b", digest(1, {{.team = 1, .offeredSeconds = {figure, 0, 0}}}), start));
    }
    BOOST_TEST(!demand.merge("b", digest(1, std::vector<TeamDemand>(maxTeamsPerDigest + 1)), start));
    BOOST_TEST(!demand.merge("own", digest(1, {}), start));
    BOOST_TEST(!demand.totals(service));
}

// Guards against teams that other hosts never learn of because others fill each digest, and against teams that stay counted when they have stopped.
BOOST_AUTO_TEST_CASE(teamsTakeTurnsInDigests)
{
    HostDemand host;
    FleetDemand fleet("own");
    for (std::uint64_t team = 0; team < 20; ++team) {
        host.onOffered({.service = service, .priority = 1, .team = team, .engineSeconds = team < 10 ? 1.0 : 0.01}, start);
    }
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(fleet.merge("b", host.digest(start + i * 100ms), start + i * 100ms));
    }
    BOOST_TEST(fleet.totals(service)->teams.size() == 20U);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(fleet.merge("b", host.digest(start + 6s + i * 100ms), start + 6s + i * 100ms));
    }
    BOOST_TEST(fleet.totals(service)->teams.size() == 10U);
}

// Guards against digests that take more than their part of the network, and against a burst that others learn of late.
BOOST_AUTO_TEST_CASE(digestsAreSentAtTheirIntervalAndOnGrowth)
{
    DigestSchedule schedule(1);
    schedule.setHosts(295);
    TimePoint now = start;
    int sent = 0;
    const auto run = [&](Duration duration, double backlog, bool isActive) {
        for (const TimePoint end = now + duration; now < end; now += 1ms) {
            if (schedule.isDue(backlog, isActive, now)) {
                schedule.onSent(now);
                ++sent;
            }
        }
        return std::exchange(sent, 0);
    };
    BOOST_TEST(run(10s, 0, false) == 0);
    BOOST_TEST(run(60s, 1, true) <= 60 / 2.95 + 2);
    BOOST_TEST(run(200ms, 100, true) == 1);
    BOOST_TEST(run(60s, 100, true) <= 60 / 2.95 + 1);
    BOOST_TEST(run(10s, 0, false) <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
