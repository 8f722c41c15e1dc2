#include <boost/test/unit_test.hpp>

#include "coordination/backoff.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(BackoffTest)

BOOST_AUTO_TEST_CASE(delaysDoubleUpToTheMaximumUntilReset)
{
    Backoff backoff(50ms, 400ms, Random(1));
    for (const Duration maxDrawn : {50ms, 100ms, 200ms, 400ms, 400ms}) {
        const Duration drawn = backoff.nextDelay();
        BOOST_TEST((drawn >= maxDrawn / 2 && drawn <= maxDrawn));
    }
    backoff.setMaxDelay(80ms);
    BOOST_TEST((backoff.nextDelay() <= 80ms));
    backoff.reset();
    BOOST_TEST((backoff.nextDelay() <= 50ms));
}

BOOST_AUTO_TEST_SUITE_END()
