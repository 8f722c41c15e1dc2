#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "decision/admission_queue.h"
#include "decision/id_table.h"
#include "load_driver.h"

using namespace Lovageloft;
namespace data = boost::unit_test::data;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);

bool anyEngine(const QueuedRequest & /*request*/)
{
    return true;
}

bool noEngine(const QueuedRequest & /*request*/)
{
    return false;
}

QueuedRequest makeRequest(std::uint64_t id, std::uint32_t team, std::int64_t cost = 500)
{
    return {.id = RequestId{id}, .team = TeamId{team}, .cost = cost, .deadline = start + 10 * second, .fingerprint = id};
}

struct Fixture
{
    bool admit(const QueuedRequest &request, TimePoint now = start)
    {
        return queue.offer(request, now).isAdmitted;
    }

    std::vector<std::uint64_t> order()
    {
        std::vector<std::uint64_t> ids;
        while (const auto request = queue.next(start, &anyEngine)) {
            ids.push_back(static_cast<std::uint64_t>(request->id));
        }
        return ids;
    }

    AdmissionQueue queue;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionQueueTest, Fixture)

BOOST_AUTO_TEST_CASE(prioritiesOrderOneTeamOnly)
{
    QueuedRequest low = makeRequest(1, 1);
    low.priority = Priority::Low;
    QueuedRequest high = makeRequest(3, 1);
    high.priority = Priority::High;
    for (const QueuedRequest &request : {low, makeRequest(2, 1), high, makeRequest(4, 2), makeRequest(5, 2)}) {
        BOOST_TEST(admit(request));
    }
    BOOST_TEST(order() == std::vector<std::uint64_t>({3, 4, 2, 1, 5}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aRequestPastItsDeadlineExpiresAndIsNeverDispatched)
{
    // If a request is dispatched after its deadline, it takes capacity from requests that are still wanted. If it is kept in the
    // queue, its caller gets no answer.
    QueuedRequest request = makeRequest(1, 1);
    request.deadline = start + second;
    BOOST_TEST(admit(request));
    BOOST_TEST((queue.nextDeadline() == request.deadline));
    BOOST_TEST(queue.expire(start + second / 2).empty());
    BOOST_TEST(!queue.next(start + second, &anyEngine).has_value());
    BOOST_TEST((queue.nextDeadline() == request.deadline));
    const std::vector<ExpiredRequest> expired = queue.expire(start + second);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST((expired[0].request.id == RequestId{1}));
    BOOST_TEST((expired[0].reason.code == ResultCode::DeadlineWouldPass));
    BOOST_TEST((expired[0].retryAfter >= second));
    BOOST_TEST(queue.size() == 0U);
    BOOST_TEST(!queue.nextDeadline().has_value());
}

BOOST_AUTO_TEST_CASE(refusalsNameTheirReason)
{
    const auto codeOf = [this](const QueuedRequest &request) { return queue.offer(request, start).reason.code; };
    QueuedRequest late = makeRequest(1, 1);
    late.deadline = start;
    BOOST_TEST((codeOf(late) == ResultCode::DeadlineWouldPass));
    BOOST_TEST(admit(makeRequest(2, 1, 4'000'000)));
    BOOST_TEST((codeOf(makeRequest(2, 1)) == ResultCode::InvalidField));
    BOOST_TEST((codeOf(makeRequest(3, 1, 5'000)) == ResultCode::QueueFull));
    QueuedRequest urgent = makeRequest(4, 1, 5'000);
    urgent.deadline = start + second;
    BOOST_TEST((codeOf(urgent) == ResultCode::DeadlineWouldPass));
    queue.drain();
    BOOST_TEST((codeOf(makeRequest(5, 2)) == ResultCode::Draining));
    BOOST_TEST(order() == std::vector<std::uint64_t>({2}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aFloodOfOneTeamLeavesQueueSpaceForOthers)
{
    // One team sends small requests with distant deadlines without end. If it could fill the queue, teams with nothing queued would
    // be refused.
    queue = AdmissionQueue({.maxRequests = 100});
    std::uint64_t id = 0;
    for (int request = 0; request < 1'000; ++request) {
        admit(makeRequest(++id, 1, 1));
    }
    BOOST_TEST(queue.size(TeamId{1}) == 50U);
    BOOST_TEST((queue.offer(makeRequest(++id, 1, 1), start).reason.code == ResultCode::Overloaded));
    for (int request = 0; request < 1'000; ++request) {
        admit(makeRequest(++id, 2, 1));
    }
    BOOST_TEST(queue.size(TeamId{2}) == 25U);
    BOOST_TEST(admit(makeRequest(++id, 3, 1)));
}

BOOST_AUTO_TEST_CASE(aWithdrawnKeyTakesItsRequestsAlong)
{
    // A key is withdrawn while its requests are queued. Dispatched later, they would run for a caller that is no longer authorized.
    for (std::uint64_t id = 1; id <= 6; ++id) {
        QueuedRequest request = makeRequest(id, id <= 4 ? 1 : 2);
        request.key = KeyId{static_cast<std::uint32_t>(id % 2)};
        BOOST_TEST(admit(request));
    }
    BOOST_TEST(queue.removeByKey(TeamId{1}, KeyId{1}, start).size() == 2U);
    BOOST_TEST(queue.removeIf([](const QueuedRequest &request) { return request.team == TeamId{2}; }, start).size() == 2U);
    BOOST_TEST(order() == std::vector<std::uint64_t>({2, 4}), boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(everyRequestLeavesExactlyOnce, data::make(seeds(20)), seed)
{
    // Offers, dispatches, requeues, cancellations and deadlines occur in random order. A request that is lost leaves its caller
    // without an answer; one that leaves the queue twice runs twice.
    queue = AdmissionQueue({.maxRequests = 500, .initialRate = 1e6});
    Random random(seed);
    std::set<RequestId> waiting;
    TimePoint now = start;
    for (std::uint64_t id = 1; id <= 5'000; ++id) {
        now += std::chrono::milliseconds(randomBelow(random, 40));
        QueuedRequest request = makeRequest(id, static_cast<std::uint32_t>(randomBelow(random, 5)), 1 + static_cast<std::int64_t>(randomBelow(random, 5'000)));
        request.deadline = now + std::chrono::milliseconds(randomBelow(random, 3'000));
        request.model = ModelId{static_cast<std::uint32_t>(randomBelow(random, 3))};
        if (queue.offer(request, now).isAdmitted) {
            waiting.insert(request.id);
        }
        if (const auto next = queue.next(now, randomBelow(random, 2) == 0 ? &anyEngine : &noEngine)) {
            BOOST_REQUIRE((next->deadline > now));
            if (randomBelow(random, 4) == 0) {
                queue.requeue(*next, now);
            } else {
                BOOST_REQUIRE(waiting.erase(next->id) == 1U);
            }
        }
        const RequestId any{1 + randomBelow(random, id)};
        if (randomBelow(random, 10) == 0 && queue.cancel(any, now)) {
            BOOST_REQUIRE(waiting.erase(any) == 1U);
        }
        for (const ExpiredRequest &expired : queue.expire(now)) {
            BOOST_REQUIRE(waiting.erase(expired.request.id) == 1U);
        }
        BOOST_REQUIRE(queue.size() == waiting.size());
    }
    BOOST_TEST(queue.expire(now + 10 * second).size() == waiting.size());
}

BOOST_AUTO_TEST_CASE(anIdMapsBackToItsName)
{
    IdTable<TeamId> table;
    const TeamId first = table.idOf("ministry");
    BOOST_TEST((table.idOf("printer") != first));
    BOOST_TEST((table.idOf("ministry") == first));
    BOOST_TEST(table.nameOf(first) == "ministry");
}

BOOST_AUTO_TEST_SUITE_END()
