#include <boost/test/unit_test.hpp>

#include "gateway/engine_urgency.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EngineUrgencyTest)

BOOST_AUTO_TEST_CASE(whatComesLateAnywayLetsOthersBeInTime)
{
    // A quarter of the engines is lost while users come in numbers. In the order of arrival each answer comes a second late: those who
    // would wait for ten seconds and those who need it now. What can't be in time goes behind what can, also of the next priority.
    BOOST_TEST(engineUrgency(0, true) > engineUrgency(0, false));
    BOOST_TEST(engineUrgency(0, true) > engineUrgency(1, false));
}

BOOST_AUTO_TEST_CASE(routesKeepTheirOrder)
{
    for (const bool isExpectedLate : {false, true}) {
        BOOST_TEST(engineUrgency(0, isExpectedLate) < engineUrgency(1, isExpectedLate));
        BOOST_TEST(engineUrgency(1, isExpectedLate) < engineUrgency(2, isExpectedLate));
    }
}

BOOST_AUTO_TEST_CASE(urgenciesStayWithinWhatEnginesTake)
{
    BOOST_TEST(engineUrgency(100, true) == 9);
    BOOST_TEST(engineUrgency(-100, false) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
