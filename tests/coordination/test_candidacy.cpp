#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/candidacy.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t rankedHosts = 8;

std::vector<Candidacy> fleet(std::size_t size, TimePoint now)
{
    std::vector<Candidacy> hosts;
    for (std::size_t i = 0; i < size; ++i) {
        hosts.emplace_back(Random(i));
        hosts.back().setRank(i < rankedHosts ? std::optional(i) : std::nullopt, size, now);
    }
    return hosts;
}

/// Counts the reads of the key by all living hosts until `end`.
int countPolls(std::vector<Candidacy> &hosts, std::size_t dead, TimePoint begin, TimePoint end)
{
    int count = 0;
    for (TimePoint now = begin; now < end; now += 10ms) {
        for (std::size_t i = dead; i < hosts.size(); ++i) {
            count += hosts[i].isDue(now) ? 1 : 0;
        }
    }
    return count;
}

const TimePoint start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(CandidacyTest)

BOOST_AUTO_TEST_CASE(theLossOfALeaderCausesNoThunderingHerd)
{
    // Guards against hundreds of hosts that all read the key, acquire a lease and write when a leader is lost.
    for (const std::size_t size : {9U, 80U, 295U, 1'000U}) {
        auto hosts = fleet(size, start);
        for (Candidacy &host : hosts) {
            host.setLeader("", start);
        }
        BOOST_TEST(hosts[0].isDue(start));
        BOOST_TEST(countPolls(hosts, 1, start, start + 150ms) == 0);
        BOOST_TEST(countPolls(hosts, 1, start + 150ms, start + 1s) <= 7);
    }
}

BOOST_AUTO_TEST_CASE(aNewLeaderEndsTheSearch)
{
    auto hosts = fleet(295, start);
    for (Candidacy &host : hosts) {
        host.setLeader("", start);
    }
    for (Candidacy &host : hosts) {
        host.setLeader("a", start + 100ms);
    }
    BOOST_TEST(countPolls(hosts, 0, start + 100ms, start + 10s) == 0);
}

BOOST_AUTO_TEST_CASE(allRankedHostsMayBeDead)
{
    // Guards against engines that get no orders when all ranked hosts are lost with the leader.
    auto hosts = fleet(295, start);
    for (Candidacy &host : hosts) {
        host.setLeader("", start);
    }
    BOOST_TEST(countPolls(hosts, rankedHosts, start, start + 2s) > 0);
    BOOST_TEST(countPolls(hosts, rankedHosts, start, start + 2s) < 100);
}

BOOST_AUTO_TEST_CASE(anUnreportedLossIsDetectedByTheFirstInRank)
{
    auto hosts = fleet(295, start);
    for (Candidacy &host : hosts) {
        host.setLeader("a", start);
    }
    const int count = countPolls(hosts, 0, start, start + 25s);
    BOOST_TEST(count >= 1);
    BOOST_TEST(count <= 2);
}

BOOST_AUTO_TEST_CASE(noHostIsDueBeforeTheKeyWasRead)
{
    auto hosts = fleet(9, start);
    BOOST_TEST(countPolls(hosts, 0, start, start + 10s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
