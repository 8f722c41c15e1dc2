#include <cmath>

#include <boost/test/unit_test.hpp>

#include "estimation/pace_tracker.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(PaceTrackerTest)

// Guards against work sent to a slow engine as often as to a fast one: engines at 0.6, 1.0 and 1.6 of the usual speed answer once a second.
BOOST_AUTO_TEST_CASE(enginesOfUnlikeSpeedAreToldApartWithinSeconds)
{
    for (const double pace : {1 / 0.6, 1.0, 1 / 1.6}) {
        PaceTracker stated;
        PaceTracker observed;
        for (int second = 0; second < 5; ++second) {
            stated.onStated(pace, start + std::chrono::seconds(second));
            observed.onObserved(pace, start + std::chrono::seconds(second));
        }
        BOOST_TEST(std::abs(std::log(stated.meanPace() / pace)) < 0.1);
        BOOST_TEST(std::abs(std::log(observed.meanPace() / pace)) < 0.3);
    }
}

// A machine that is busy for a moment makes work take 2.5 times as long. Guards against avoiding its engine when the news is old.
BOOST_AUTO_TEST_CASE(aStatedPaceIsForgottenWithItsAge)
{
    PaceTracker tracker;
    for (int i = 0; i < 50; ++i) {
        tracker.onStated(1, start + i * 200ms);
    }
    const TimePoint now = start + 10s;
    tracker.onStated(2.5, now);
    const double mean = tracker.meanPace();
    BOOST_TEST(mean < 1.1);
    BOOST_TEST(tracker.pace(now) > 2.4);
    BOOST_TEST(tracker.pace(now + 50ms) > 2.0);
    BOOST_TEST(tracker.pace(now + 200ms) > 1.5);
    BOOST_TEST(tracker.pace(now + 600ms) < 1.25);
    BOOST_TEST(std::abs(tracker.pace(now + 3s) - mean) < 0.01);
}

BOOST_AUTO_TEST_CASE(figuresThatCanNotBeAreIgnored)
{
    PaceTracker tracker;
    for (const double pace : {0.0, -1.0, std::nan("")}) {
        tracker.onStated(pace, start);
        tracker.onObserved(pace, start);
    }
    BOOST_TEST(tracker.pace(start) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
