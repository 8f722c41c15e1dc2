#include <boost/test/unit_test.hpp>

#include "gateway/engine_urgency.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EngineUrgencyTest)

BOOST_AUTO_TEST_CASE(lateRequestsAreLessUrgentThanOnesOnTime)
{
    // A quarter of the engines is lost under high load. In order of arrival every response would be a second late, both for callers who accept
    // ten seconds and for those who need it now. Requests that can't be on time go behind those that can, even of the next lower priority.
    BOOST_TEST(engineUrgency(0, true) > engineUrgency(0, false));
    BOOST_TEST(engineUrgency(0, true) > engineUrgency(1, false));
}

BOOST_AUTO_TEST_CASE(prioritiesKeepTheirOrder)
{
    for (const bool isExpectedLate : {false, true}) {
        BOOST_TEST(engineUrgency(0, isExpectedLate) < engineUrgency(1, isExpectedLate));
        BOOST_TEST(engineUrgency(1, isExpectedLate) < engineUrgency(2, isExpectedLate));
    }
}

BOOST_AUTO_TEST_CASE(urgenciesStayInTheRangeThatEnginesAccept)
{
    BOOST_TEST(engineUrgency(100, true) == 9);
    BOOST_TEST(engineUrgency(-100, false) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
