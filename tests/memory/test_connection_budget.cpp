#include <boost/test/unit_test.hpp>

#include "memory/connection_budget.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

/// Registers a connection; returns its id.
ConnectionBudget::ConnectionId open(ConnectionBudget &budget, TimePoint now)
{
    static ConnectionBudget::ConnectionId last = 0;
    budget.open(++last, now);
    return last;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionBudgetTest)

// Guards against callers that are closed though others hold more, or do nothing.
BOOST_AUTO_TEST_CASE(incompleteRequestsGoFirstThenIdleConnectionsThenThoseThatSentAhead)
{
    ConnectionBudget budget;
    const auto served = open(budget, start);
    budget.setPhase(served, CallerPhase::Served, start);
    const auto ahead = open(budget, start);
    budget.setPhase(ahead, CallerPhase::Served, start);
    budget.setReceived(ahead, ConnectionBudget::maxAheadBytes + 1, 0);
    const auto idle = open(budget, start);
    const auto longIdle = open(budget, start - 1s);
    const auto small = open(budget, start);
    budget.setPhase(small, CallerPhase::Arriving, start);
    const auto large = open(budget, start);
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
    const auto connection = open(budget, start);
    budget.setPhase(connection, CallerPhase::Arriving, start);
    open(budget, start);
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
    const auto connection = open(budget, start);
    budget.setReceived(connection, 50'000, 0);
    BOOST_TEST(budget.isExceeded());
    budget.setReceived(connection, 100, 0);
    BOOST_TEST(!budget.isExceeded());
    budget.close(connection);
    budget.close(connection);
    BOOST_TEST(budget.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
