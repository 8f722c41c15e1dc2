#include <boost/test/unit_test.hpp>

#include "decision/admission_queue.h"

using namespace Lovageloft;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);

bool anyEngine(const QueuedRequest & /*request*/)
{
    return true;
}

QueuedRequest makeRequest(std::uint64_t id, std::uint32_t team, std::int64_t cost)
{
    return {.id = RequestId{id}, .team = TeamId{team}, .cost = cost, .deadline = start + 10 * second, .fingerprint = id};
}

std::vector<std::uint64_t> order(AdmissionQueue &queue)
{
    std::vector<std::uint64_t> ids;
    while (const auto request = queue.next(start, &anyEngine)) {
        ids.push_back(static_cast<std::uint64_t>(request->id));
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionQueueTest)

BOOST_AUTO_TEST_CASE(prioritiesOrderOneTeamOnly)
{
    AdmissionQueue queue;
    QueuedRequest low = makeRequest(1, 1, 500);
    low.priority = Priority::Low;
    QueuedRequest high = makeRequest(3, 1, 500);
    high.priority = Priority::High;
    for (const QueuedRequest &request : {low, makeRequest(2, 1, 500), high, makeRequest(4, 2, 500), makeRequest(5, 2, 500)}) {
        BOOST_TEST(queue.offer(request, start).isAdmitted);
    }
    BOOST_TEST(order(queue) == std::vector<std::uint64_t>({3, 4, 2, 1, 5}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
