#include <boost/test/unit_test.hpp>

#include "core/log_limiter.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LogLimiterTest)

BOOST_AUTO_TEST_CASE(anEventAboveItsRateIsSuppressedCountedAndTold)
{
    // A store that is down lets a line come a thousand times a second. Without a limit the lines take the processor time of the requests
    // and bury the line that tells the cause; without the count a reader takes the gap for quiet.
    LogLimiter limiter(100, 200);
    TimePoint now{};
    int written = 0;
    for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
        now += 1ms;
        written += limiter.admit("store_lost", now) ? 1 : 0;
    }
    BOOST_TEST(written >= 1'190);
    BOOST_TEST(written <= 1'201);
    const auto told = limiter.consumeSuppressed();
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST(told.front().event == "store_lost");
    BOOST_TEST(told.front().lines == static_cast<std::uint64_t>(10'000 - written));
    BOOST_TEST(limiter.consumeSuppressed().empty());
    BOOST_TEST(limiter.suppressed().at("store_lost") == told.front().lines);
}

BOOST_AUTO_TEST_CASE(oneEventDoesNotSilenceAnother)
{
    LogLimiter limiter(10, 10);
    const TimePoint now{};
    for (int i = 0; i < 1'000; ++i) {
        limiter.admit("request_refused", now);
    }
    BOOST_TEST(limiter.admit("host_not_ready", now));
}

BOOST_AUTO_TEST_CASE(aClockThatStandsStillGivesNoNewLines)
{
    LogLimiter limiter(10, 10);
    const TimePoint now{};
    int written = 0;
    for (int i = 0; i < 100; ++i) {
        written += limiter.admit("a", now - std::chrono::seconds(i)) ? 1 : 0;
    }
    BOOST_TEST(written == 10);
}

BOOST_AUTO_TEST_SUITE_END()
