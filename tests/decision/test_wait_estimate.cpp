#include <boost/test/unit_test.hpp>

#include "decision/service_share.h"
#include "decision/wait_estimate.h"

using namespace Lovageloft;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);
constexpr Duration weekend = std::chrono::hours(60);

/// Simulates a blocked queue that drains at `rate` tokens per second in steps of 0.1 s; returns the time at which it is empty.
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

BOOST_AUTO_TEST_CASE(theRateIsMeasuredOverBlockedTime)
{
    WaitEstimate estimate({.rate = 20'000});
    drain(estimate, 50'000, start, 60 * second);
    BOOST_TEST(estimate.rate() == 50'000, boost::test_tools::tolerance(0.02));
    BOOST_TEST(toSeconds(estimate.waitFor(100'000)) == 2, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(idleTimeAndFreeWindowsAreNotMeasured)
{
    // For a weekend, few requests are dispatched through open windows. If that counted as the service rate, a burst on Monday would
    // be refused.
    WaitEstimate estimate({.rate = 20'000});
    TimePoint now = drain(estimate, 50'000, start, 60 * second);
    for (int hour = 0; hour < 60; ++hour) {
        now += weekend / 60;
        estimate.onDispatched(200, now);
        estimate.onEmptied(now);
    }
    BOOST_TEST(estimate.rate() == 50'000, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(anOutdatedRateIsReplacedWithinSeconds)
{
    // Half of the engines are removed over a weekend. A rate kept for minutes would admit twice the load that can be served.
    WaitEstimate estimate({.rate = 20'000});
    const TimePoint friday = drain(estimate, 50'000, start, 60 * second);
    drain(estimate, 25'000, friday + weekend, 10 * second);
    BOOST_TEST(estimate.rate() < 35'000);
}

BOOST_AUTO_TEST_CASE(aStallLowersTheRateWithinADeadline)
{
    // All engines hang. Nothing is dispatched, so the rate must fall with time alone; requests admitted at the old rate would expire.
    WaitEstimate estimate({.rate = 20'000});
    const TimePoint hang = drain(estimate, 50'000, start, 60 * second);
    estimate.onBlocked(hang);
    estimate.advance(hang + 10 * second);
    BOOST_TEST(estimate.rate() < 25'000);
    estimate.advance(hang + 3600 * second);
    BOOST_TEST(estimate.rate() >= 1);
}

BOOST_AUTO_TEST_CASE(aShareIsMeasuredInTokensAndNotInTime)
{
    // Long prompts of other teams occupy all engines for a while. If the share were measured in time, every lane would look blocked
    // and teams within their share would be refused.
    ServiceShare share;
    share.begin(0, 1);
    BOOST_TEST(share.share(0.5, 1'000, 0, 10'000) == 0.5);
    double served = 0;
    for (int step = 0; step < 100; ++step) {
        served += 1'000;
        share.onCredited(200);
        share.share(0.5, 1'000, served, 10'000);
    }
    BOOST_TEST(share.share(0.5, 1'000, served, 10'000) == 0.23, boost::test_tools::tolerance(0.02));
    share.end(served);
    share.onCredited(5'000);
    share.begin(served + 9'000, 1);
    BOOST_TEST(share.share(0.5, 1'000, served + 9'000, 10'000) == 0.23, boost::test_tools::tolerance(0.02));
    share.end(served + 9'000);
    share.begin(served + 50'000, 1);
    BOOST_TEST(share.share(0.5, 1'000, served + 50'000, 10'000) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
