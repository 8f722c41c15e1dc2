#include <boost/test/unit_test.hpp>

#include "decision/reservation_book.h"

using namespace Lovageloft;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);

struct Fixture
{
    /// Reserves one second of service from now on; returns the wait in seconds.
    std::int64_t reserve(std::uint64_t fingerprint, TimePoint now)
    {
        return book.reserve(fingerprint, 100, now, second, now) / second;
    }

    ReservationBook book;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReservationBookTest, Fixture)

BOOST_AUTO_TEST_CASE(reservationsAreSpacedAndKeptOnRepeatedRefusals)
{
    // Many callers are refused at the same time. With the same Retry-After they would all retry at once and most would be refused
    // again.
    BOOST_TEST(reserve(1, start) == 1);
    BOOST_TEST(reserve(2, start) == 1);
    BOOST_TEST(reserve(3, start) == 2);
    BOOST_TEST(reserve(4, start) == 3);
    BOOST_TEST(reserve(4, start + second) == 2);
    BOOST_TEST(!book.redeem(4, false, start + second));
    BOOST_TEST(book.redeem(4, false, start + 3 * second));
    BOOST_TEST(!book.redeem(4, false, start + 3 * second));
}

BOOST_AUTO_TEST_CASE(aReservationExpiresAfterTheGracePeriod)
{
    // A caller never retries. If its reservation did not expire, other requests would be refused for it.
    reserve(1, start);
    BOOST_TEST(book.tokensDue(start) == 0);
    BOOST_TEST(book.tokensDue(start + second) == 100);
    BOOST_TEST(book.tokensDue(start + second + reservationGrace) == 100);
    BOOST_TEST(book.tokensDue(start + 2 * second + reservationGrace) == 0);
    BOOST_TEST(!book.redeem(1, false, start + 2 * second + reservationGrace));
    BOOST_TEST(book.isEmpty());
}

BOOST_AUTO_TEST_CASE(aRetryFromAnotherHostRedeemsTheOldestDueAndANewcomerNone)
{
    // The balancer sends a retry to another host than the one that refused the request.
    reserve(1, start);
    reserve(2, start);
    BOOST_TEST(!book.redeem(9, false, start + 2 * second));
    BOOST_TEST(book.redeem(9, true, start + 2 * second));
    BOOST_TEST(!book.redeem(1, false, start + 2 * second));
    BOOST_TEST(book.redeem(2, false, start + 2 * second));
}

BOOST_AUTO_TEST_CASE(reservationsAreBounded)
{
    std::int64_t longest = 0;
    for (std::uint64_t caller = 1; caller <= 20'000; ++caller) {
        longest = std::max(longest, reserve(caller, start));
    }
    BOOST_TEST(longest == 600);
}

BOOST_AUTO_TEST_SUITE_END()
