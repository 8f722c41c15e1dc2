#include <boost/test/unit_test.hpp>

#include "decision/service_share.h"
#include "decision/wait_estimate.h"

using namespace Lovageloft;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);
constexpr Duration weekend = std::chrono::hours(60);

/// Plays a blocked queue that drains at `rate` tokens a second in steps of 0.1 s; returns the time of the end.
TimePoint drain(WaitEstimate &estimate, double rate, TimePoint from, Duration length)
{
    estimate.onBlocked(from);
    TimePoint now = from;
    while (now < from + length) {
        now += second / 10;
        estimate.onDispatched(static_cast<std::int64_t>(rate / 10), now);
    }
    estimate.onEmptied(now);
    return now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitEstimateTest)

BOOST_AUTO_TEST_CASE(theRateIsThatOfBlockedTime)
{
    WaitEstimate estimate({.rate = 20'000});
    drain(estimate, 50'000, start, 60 * second);
    BOOST_TEST(estimate.rate() == 50'000, boost::test_tools::tolerance(0.02));
    BOOST_TEST(toSeconds(estimate.waitFor(100'000)) == 2, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(idleTimeAndFreeWindowsCountForNothing)
{
    // Requests trickle through free windows for a weekend. Counted as the engines' speed they would make Monday's burst look
    // hopeless, and it would be refused.
    WaitEstimate estimate({.rate = 20'000});
    TimePoint now = drain(estimate, 50'000, start, 60 * second);
    for (int hour = 0; hour < 60; ++hour) {
        now += weekend / 60;
        estimate.onDispatched(200, now);
        estimate.onEmptied(now);
    }
    BOOST_TEST(estimate.rate() == 50'000, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(afterAWeekendNewEvidenceWinsSoon)
{
    // Half of the engines were taken away over the weekend. A rate believed for minutes would let in twice what can be done.
    WaitEstimate estimate({.rate = 20'000});
    const TimePoint friday = drain(estimate, 50'000, start, 60 * second);
    drain(estimate, 25'000, friday + weekend, 10 * second);
    BOOST_TEST(estimate.rate() < 35'000);
}

BOOST_AUTO_TEST_CASE(aStandstillShowsBeforeADeadlineHasPassed)
{
    // All engines hang. Nothing is dispatched, so only the passing of time can tell; callers let in at the old rate would
    // wait in vain.
    WaitEstimate estimate({.rate = 20'000});
    const TimePoint hang = drain(estimate, 50'000, start, 60 * second);
    estimate.onBlocked(hang);
    estimate.advance(hang + 10 * second);
    BOOST_TEST(estimate.rate() < 25'000);
    estimate.advance(hang + 3600 * second);
    BOOST_TEST(estimate.rate() >= 1);
}

BOOST_AUTO_TEST_CASE(aShareIsLearntFromServiceAndNotFromTime)
{
    // All engines hold long prompts of others for a while. Measured in time every lane would seem closed and teams within
    // their part would be refused.
    ServiceShare share;
    share.begin(0, 1);
    BOOST_TEST(share.share(0.5, 1'000, 0, 10'000) == 0.5);
    double served = 0;
    for (int step = 0; step < 100; ++step) {
        served += 1'000;
        share.onEarned(200);
        share.share(0.5, 1'000, served, 10'000);
    }
    BOOST_TEST(share.share(0.5, 1'000, served, 10'000) == 0.23, boost::test_tools::tolerance(0.02));
    share.end(served);
    share.onEarned(5'000);
    share.begin(served + 9'000, 1);
    BOOST_TEST(share.share(0.5, 1'000, served + 9'000, 10'000) == 0.23, boost::test_tools::tolerance(0.02));
    share.end(served + 9'000);
    share.begin(served + 50'000, 1);
    BOOST_TEST(share.share(0.5, 1'000, served + 50'000, 10'000) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
