#include <boost/test/unit_test.hpp>

#include "overload/fleet_admission.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t service = 7;
const TimePoint start{1h};

FleetRequest request(std::uint64_t team)
{
    return {.service = service, .priority = 1, .team = team, .engineSeconds = 0.1, .remaining = 1s, .serviceTime = 100ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetAdmissionTest)

// Guards against shares that leave capacity unused or starve a class.
BOOST_AUTO_TEST_CASE(sharesFollowMaxMinFairnessAndPriority)
{
    BOOST_TEST(maxMinShare(std::vector<double>{1, 10, 4}, 9) == 4);
    BOOST_TEST(maxMinShare(std::vector<double>{1, 2}, 9) == 9);
    BOOST_TEST(maxMinShare({}, 9) == 9);
    const ClassSeconds shares = sharesByPriority({20, 0.5, 20}, 10);
    BOOST_TEST(shares == (ClassSeconds{8.5, 0.5, 1}), boost::test_tools::per_element());
}

// Guards against requests that wait for engines until they are late, and against callers that all return at the same time.
BOOST_AUTO_TEST_CASE(lateRequestsAreRefusedWithATimeToRetryAfter)
{
    FleetDemand demand("own");
    FleetAdmission admission(demand, 1);
    BOOST_TEST(!admission.decide(request(1), start).refusal);
    admission.setEngines(service, 10, 8.9);
    BOOST_TEST(!admission.decide(request(1), start).refusal);
    admission.setEngines(service, 10, 15);
    const AdmissionDecision first = admission.decide(request(1), start);
    BOOST_TEST((first.refusal == RefusalReason::Deadline));
    BOOST_TEST(toSeconds(first.retryAfter) >= 0.6);
    BOOST_TEST(toSeconds(first.retryAfter) <= 0.72);
    BOOST_TEST((admission.decide(request(1), start).retryAfter != first.retryAfter));
    BOOST_TEST(admission.isActive(start + 500ms));
    BOOST_TEST(!admission.isActive(start + 2s));
}

// Guards against a host that enforces shares by its own small view when no digest reaches it.
BOOST_AUTO_TEST_CASE(aHostWithoutDigestsDecidesByItsOwnQueue)
{
    FleetDemand demand("own");
    demand.setHosts(20);
    FleetAdmission admission(demand, 1);
    admission.setEngines(service, 1, 0.5);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!admission.decide(request(1), start + i * 10ms).refusal);
    }
    admission.own().onQueued(request(1), start + 1s);
    BOOST_TEST((admission.decide(request(1), start + 1500ms).refusal == RefusalReason::Deadline));
}

BOOST_AUTO_TEST_SUITE_END()
