#include <boost/test/unit_test.hpp>

#include "memory/connection_budget.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionBudgetTest)

// Guards against callers that are closed though others hold more, or do nothing.
BOOST_AUTO_TEST_CASE(incompleteRequestsGoFirstThenIdleConnectionsThenThoseThatSentAhead)
{
    ConnectionBudget budget;
    const auto served = budget.open(start);
    budget.setPhase(served, CallerPhase::Served, start);
    const auto ahead = budget.open(start);
    budget.setPhase(ahead, CallerPhase::Served, start);
    budget.setReceived(ahead, ConnectionBudget::maxAheadBytes + 1, 0);
    const auto idle = budget.open(start);
    const auto longIdle = budget.open(start - 1s);
    const auto small = budget.open(start);
    budget.setPhase(small, CallerPhase::Arriving, start);
    const auto large = budget.open(start);
    budget.setPhase(large, CallerPhase::Arriving, start);
    budget.setReceived(large, 0, 100'000);
    const TimePoint now = start + ConnectionBudget::minArrivalTime;
    for (const auto expected : {large, small, longIdle, idle, ahead}) {
        const auto first = budget.findExpendable(now);
        BOOST_REQUIRE(first.has_value());
        BOOST_TEST(first->connection == expected);
        budget.close(expected);
    }
    BOOST_TEST(!budget.findExpendable(now).has_value());
    BOOST_TEST(budget.count() == 1U);
}

// Guards against ordinary requests that are closed while they arrive.
BOOST_AUTO_TEST_CASE(aRequestThatHasJustBegunIsNotClosed)
{
    ConnectionBudget budget({1, 0});
    const auto connection = budget.open(start);
    budget.setPhase(connection, CallerPhase::Arriving, start);
    budget.open(start);
    BOOST_TEST(budget.isExceeded());
    const auto first = budget.findExpendable(start + 1s);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->connection != connection);
    BOOST_TEST(!budget.findExpendableBody(start + 1s).has_value());
}

// Guards against memory that is counted for connections which have ended.
BOOST_AUTO_TEST_CASE(aClosedConnectionHoldsNothing)
{
    ConnectionBudget budget({0, 3 * ConnectionBudget::connectionBytes});
    const auto connection = budget.open(start);
    budget.setReceived(connection, 50'000, 0);
    BOOST_TEST(budget.isExceeded());
    budget.setReceived(connection, 100, 0);
    BOOST_TEST(!budget.isExceeded());
    budget.close(connection);
    budget.close(connection);
    BOOST_TEST(budget.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
