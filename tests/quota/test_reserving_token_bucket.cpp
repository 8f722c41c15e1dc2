#include <limits>

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "quota/reserving_token_bucket.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(ReservingTokenBucketTest)

BOOST_AUTO_TEST_CASE(tokensThatAreNotThereYetAreReservedInOrder)
{
    // Guards against promises that together exceed what the bucket refills, and against a request that overtakes an earlier one.
    ReservingTokenBucket bucket({1'000, 1'000}, 1'000, start);
    BOOST_TEST((bucket.reserve(1'000, 2s, start).validIn == 0s));
    BOOST_TEST((bucket.reserve(500, 2s, start).validIn == 500ms));
    BOOST_TEST((bucket.reserve(500, 2s, start).validIn == 1s));
    BOOST_TEST((bucket.reserve(100, 2s, start).validIn == 1'100ms));
    const TokenReservation refused = bucket.reserve(1, 0s, start + 1s);
    BOOST_TEST(!refused.isGranted);
    BOOST_TEST((refused.retryAfter >= 100ms));
}

BOOST_AUTO_TEST_CASE(aRequestIsRefusedIfItsTokensComeTooLate)
{
    // Guards against a reservation that a caller can't wait for, and against a debt above the longest wait.
    ReservingTokenBucket bucket({1'000, 10'000}, 0, start);
    const TokenReservation refused = bucket.reserve(500, 499ms, start);
    BOOST_TEST(!refused.isGranted);
    BOOST_TEST((refused.retryAfter == 500ms));
    BOOST_TEST(!bucket.reserve(2'001, 1h, start).isGranted);
    BOOST_TEST(bucket.reserve(2'000, 1h, start).isGranted);
}

BOOST_AUTO_TEST_CASE(refundedTokensDoNotLetALaterRequestOvertake)
{
    // Guards against starvation of a request that waits while others take the tokens of callers that left.
    ReservingTokenBucket bucket({1'000, 1'000}, 0, start);
    BOOST_TEST(bucket.reserve(1'000, 2s, start).isGranted);
    BOOST_TEST((bucket.reserve(500, 2s, start).validIn == 1'500ms));
    bucket.refund(1'000);
    BOOST_TEST((bucket.reserve(100, 2s, start).validIn == 1'500ms));
    BOOST_TEST(!bucket.reserve(100, 0s, start + 1s).isGranted);
}

BOOST_AUTO_TEST_CASE(aRequestLargerThanTheBucketRunsFromAFullOneOnly)
{
    // Guards against a large request that can never run, and against one that is promised a multiple of the longest wait.
    ReservingTokenBucket bucket({1'000, 1'000}, 900, start);
    BOOST_TEST(!bucket.reserve(5'000, 2s, start).isGranted);
    BOOST_TEST((bucket.reserve(5'000, 0s, start + 100ms).isGranted));
    BOOST_TEST(!bucket.reserve(1, 2s, start + 100ms).isGranted);
}

BOOST_AUTO_TEST_CASE(aBucketThatRefillsLaterReservesFromThenOn)
{
    // Guards against a new bucket that gives out what reservations of its predecessor still use.
    ReservingTokenBucket bucket({1'000, 1'000}, 100, start + 1s);
    BOOST_TEST((bucket.reserve(100, 0s, start).validIn == 0s));
    BOOST_TEST((bucket.reserve(100, 2s, start).validIn == 1'100ms));
    BOOST_TEST((bucket.reserve(100, 2s, start + 1s).validIn == 200ms));
}

BOOST_AUTO_TEST_CASE(impossibleNumbersTakeNothing)
{
    // Guards against a damaged message that empties the bucket for ever or fills it without end.
    ReservingTokenBucket bucket({1'000, 1'000}, 1'000, start);
    for (const double tokens : {-1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        BOOST_TEST(!bucket.reserve(tokens, 2s, start).isGranted);
        bucket.refund(tokens);
    }
    BOOST_TEST((bucket.reserve(1'000, 0s, start).validIn == 0s));
    BOOST_TEST(!bucket.reserve(1, 0s, start).isGranted);
}

BOOST_AUTO_TEST_CASE(validTokensNeverExceedRateAndCapacity)
{
    // Guards against reservations that become valid faster than the bucket refills. Load: requests for 1 to 2,000 tokens at three times the
    // rate, with waits of up to 3 s, a tenth of them refunded at once.
    constexpr TokenBucketLimit limit{10'000, 10'000};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        Random random(seed);
        ReservingTokenBucket bucket(limit, limit.capacity, start);
        double used = 0;
        TimePoint lastValidAt = start;
        for (TimePoint now = start; now < start + 10s; now += 33ms) {
            const auto tokens = static_cast<double>(1 + randomBelow(random, 2'000));
            const TokenReservation reservation = bucket.reserve(tokens, std::chrono::milliseconds(randomBelow(random, 3'000)), now);
            if (!reservation.isGranted) {
                continue;
            }
            BOOST_TEST((now + reservation.validIn >= lastValidAt));
            lastValidAt = now + reservation.validIn;
            if (randomBelow(random, 10) == 0) {
                bucket.refund(tokens);
                continue;
            }
            used += tokens;
            BOOST_TEST(used <= limit.capacity + limit.rate * toSeconds(lastValidAt - start) + 1);
        }
        BOOST_TEST(used > 0.9 * limit.rate * 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
