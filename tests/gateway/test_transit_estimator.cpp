#include <boost/test/unit_test.hpp>

#include "gateway/transit_estimator.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TransitEstimatorTest)

// Guards against notices that waited in a queue, and are taken for as new as they say.
BOOST_AUTO_TEST_CASE(aMessageThatWaitedIsKnownByTheFastestOne)
{
    TransitEstimator transit;
    const TimePoint start(1h);
    const Duration clocks = 42min; // The sender's clock shows so much more.
    BOOST_TEST((transit.onMessage(7, start + clocks, start + 3ms) == Duration::zero()));
    BOOST_TEST((transit.onMessage(7, start + 1s + clocks, start + 1s + 1ms) == Duration::zero()));
    const Duration waited = transit.onMessage(7, start + 2s + clocks, start + 2s + 401ms);
    BOOST_TEST((waited > 390ms && waited <= 400ms));
    BOOST_TEST((transit.onMessage(7, start + 3s + clocks, start + 3s + 1ms) < 2ms));
    BOOST_TEST((transit.onMessage(8, start + 4s, start + 9s) == Duration::zero())); // Another process, whose clock is not known.
}

// Guards against senders whose clock runs a little slower, and whose notices all seem to wait after some hours.
BOOST_AUTO_TEST_CASE(clocksMayDriftApart)
{
    TransitEstimator transit;
    TimePoint now(1h);
    for (int i = 0; i < 100'000; ++i) {
        now += 500ms;
        const Duration behind = (now - TimePoint(1h)) / 10'000; // 100 millionths.
        BOOST_REQUIRE((transit.onMessage(7, now - behind, now + 1ms) < 2ms));
    }
}

BOOST_AUTO_TEST_SUITE_END()
