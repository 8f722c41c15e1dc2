#include <deque>
#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "decision/fair_queue.h"
#include "load_driver.h"

using namespace Lovageloft;
namespace data = boost::unit_test::data;

namespace
{

constexpr std::int64_t maxShortCost = 1'000;
constexpr std::int64_t quantum = 1'000;
constexpr std::int64_t maxCost = 60'000;

struct Fixture
{
    QueueEntry &push(std::uint32_t team, std::int64_t cost, Priority priority = Priority::Normal)
    {
        QueueEntry &entry = entries.emplace_back();
        entry.request.id = RequestId{entries.size()};
        entry.request.team = TeamId{team};
        entry.request.cost = cost;
        entry.request.priority = priority;
        queue.push(entry);
        return entry;
    }

    std::int64_t randomCost()
    {
        return static_cast<std::int64_t>(1 + (randomBelow(random, 2) == 0 ? randomBelow(random, maxShortCost) : randomBelow(random, maxCost)));
    }

    std::deque<QueueEntry> entries;
    FairQueue queue{maxShortCost, quantum};
    Random random;
};

std::uint32_t teamOf(const QueueEntry &entry)
{
    return static_cast<std::uint32_t>(entry.request.team);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FairQueueTest, Fixture)

BOOST_DATA_TEST_CASE(teamsWithBacklogStayWithinOneRequestOfTheirShares, data::make(seeds(20)), seed)
{
    // Teams of random demand and weight always have both kinds of requests queued. If a team got ahead of its share by more than
    // what is served at once, the waits of the least served team would keep growing.
    random.seed(seed);
    const auto teams = static_cast<std::uint32_t>(2 + randomBelow(random, 20));
    std::vector<double> weights(teams);
    std::vector<std::int64_t> served(teams);
    for (std::uint32_t team = 0; team < teams; ++team) {
        weights[team] = static_cast<double>(1 + randomBelow(random, 4));
        queue.setWeight(TeamId{team}, weights[team]);
        for (int request = 0; request < 20; ++request) {
            push(team, static_cast<std::int64_t>(1 + randomBelow(random, maxShortCost)));
            push(team, static_cast<std::int64_t>(maxShortCost + 1 + randomBelow(random, maxCost - maxShortCost)));
        }
    }
    for (int step = 0; step < 5'000; ++step) {
        const QueueEntry &entry = *queue.pop();
        served[teamOf(entry)] += entry.request.cost;
        push(teamOf(entry), entry.request.cost);
        const auto normalizedService = [&](std::uint32_t team) { return static_cast<double>(served[team]) / weights[team]; };
        const std::uint32_t other = static_cast<std::uint32_t>(randomBelow(random, teams));
        BOOST_REQUIRE(normalizedService(teamOf(entry)) - normalizedService(other) <= 2 * quantum + maxShortCost + maxCost);
    }
}

BOOST_DATA_TEST_CASE(aFloodDelaysAnIdleTeamByOneBlock, data::make(seeds(20)), seed)
{
    // One team has a long backlog; another one, idle until now, sends one request. It must not wait for more than one quantum and
    // one request of the first team, whatever that team's credit is.
    random.seed(seed);
    for (int request = 0; request < 2'000; ++request) {
        push(1, randomCost());
    }
    for (int round = 0; round < 50; ++round) {
        for (std::size_t served = 0; served < randomBelow(random, 20); ++served) {
            push(1, queue.pop()->request.cost);
        }
        const QueueEntry &idleTeamEntry = push(2 + static_cast<std::uint32_t>(round), randomCost());
        std::int64_t before = 0;
        std::int64_t largest = 0;
        for (const QueueEntry *entry = queue.pop(); entry != &idleTeamEntry; entry = queue.pop()) {
            before += entry->request.cost;
            largest = std::max(largest, entry->request.cost);
        }
        BOOST_TEST(before <= quantum + largest);
    }
}

BOOST_DATA_TEST_CASE(everyEntryIsPoppedOnceInLaneOrder, data::make(seeds(10)), seed)
{
    random.seed(seed);
    std::map<std::tuple<std::uint32_t, LaneKind, Priority>, std::uint64_t> last;
    std::size_t waiting = 0;
    for (int step = 0; step < 3'000; ++step) {
        if (randomBelow(random, 2) == 0) {
            push(static_cast<std::uint32_t>(randomBelow(random, 7)), randomCost(), static_cast<Priority>(randomBelow(random, priorityCount)));
            ++waiting;
        } else if (const QueueEntry *entry = queue.pop()) {
            --waiting;
            std::uint64_t &previous = last[{teamOf(*entry), queue.laneOf(entry->request.cost), entry->request.priority}];
            BOOST_TEST(previous < static_cast<std::uint64_t>(entry->request.id));
            previous = static_cast<std::uint64_t>(entry->request.id);
        }
        BOOST_REQUIRE(queue.size() == waiting);
    }
    while (queue.pop() != nullptr) {
        --waiting;
    }
    BOOST_TEST(waiting == 0U);
    BOOST_TEST(queue.backlog() == 0);
}

BOOST_AUTO_TEST_CASE(shortWorkOvertakesLongWorkButIsCharged)
{
    push(1, 60'000);
    push(1, 60'000);
    const QueueEntry &shortEntry = push(1, 200);
    const QueueEntry &other = push(2, 5'000);
    BOOST_TEST(queue.pop() == &shortEntry);
    BOOST_TEST(queue.pop()->request.cost == 60'000);
    BOOST_TEST(queue.pop() == &other);
    BOOST_TEST(queue.pop()->request.cost == 60'000);
}

BOOST_AUTO_TEST_CASE(aRequeuedRequestIsNextAgainAndChargedOnce)
{
    QueueEntry &first = push(1, 5'000);
    push(1, 5'000);
    push(2, 5'000);
    BOOST_TEST(queue.pop() == &first);
    queue.requeue(first);
    BOOST_TEST((queue.pop()->request.team == TeamId{2}));
    BOOST_TEST(queue.pop() == &first);
}

BOOST_DATA_TEST_CASE(tokensAheadPredictsTheOrder, data::make(seeds(20)), seed)
{
    // The expected wait is based on this figure. If it is far too low, requests are admitted that expire; if too high, requests are
    // refused although there is capacity. Nothing arrives after the offer here.
    random.seed(seed);
    for (int request = 0; request < 300; ++request) {
        push(static_cast<std::uint32_t>(randomBelow(random, 10)), 1 + static_cast<std::int64_t>(randomBelow(random, 5'000)));
        if (randomBelow(random, 3) == 0) {
            queue.pop();
        }
    }
    QueuedRequest probe;
    probe.team = TeamId{3};
    probe.cost = 1 + static_cast<std::int64_t>(randomBelow(random, 5'000));
    const std::int64_t predicted = queue.tokensAhead(probe);
    const QueueEntry &entry = push(3, probe.cost);
    std::int64_t ahead = 0;
    for (const QueueEntry *next = queue.pop(); next != &entry; next = queue.pop()) {
        ahead += next->request.cost;
    }
    BOOST_TEST(std::abs(predicted - ahead) <= 10 * (quantum + 5'000));
}

BOOST_AUTO_TEST_SUITE_END()
