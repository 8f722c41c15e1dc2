#include <boost/test/unit_test.hpp>

#include "decision/retry_budget.h"

using namespace Lovageloft;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);

int retriesAllowed(RetryBudget &budget, TimePoint now)
{
    Reason reason;
    int allowed = 0;
    while (budget.tryAcquire(now, reason)) {
        ++allowed;
    }
    BOOST_TEST((reason.code == ResultCode::RetryBudgetSpent));
    return allowed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

BOOST_AUTO_TEST_CASE(aTenthOfTheTrafficOfTheLastTenSeconds)
{
    // An engine is lost and every request to it fails. Without the budget each would be retried, and the remaining engines would fail
    // under the additional load.
    RetryBudget budget;
    for (int request = 0; request < 1'000; ++request) {
        budget.onRequest(start + request * second / 100);
    }
    BOOST_TEST(retriesAllowed(budget, start + 9 * second) == 100);
    BOOST_TEST(retriesAllowed(budget, start + 9 * second) == 0);
    BOOST_TEST(retriesAllowed(budget, start + 60 * second) == 3);
}

BOOST_AUTO_TEST_CASE(aQuietHostMayStillRetry)
{
    RetryBudget budget;
    budget.onRequest(start);
    BOOST_TEST(retriesAllowed(budget, start) == 3);
    BOOST_TEST(retriesAllowed(budget, start + 5 * second) == 0);
    BOOST_TEST(retriesAllowed(budget, start + 11 * second) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
