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

BOOST_AUTO_TEST_CASE(callersAreSpacedAndKeepTheirTime)
{
    // Many are refused at the same moment. Told the same time they would all return at once and most be refused again.
    BOOST_TEST(reserve(1, start) == 1);
    BOOST_TEST(reserve(2, start) == 1);
    BOOST_TEST(reserve(3, start) == 2);
    BOOST_TEST(reserve(4, start) == 3);
    BOOST_TEST(reserve(4, start + second) == 2);
    BOOST_TEST(!book.redeem(4, false, start + second));
    BOOST_TEST(book.redeem(4, false, start + 3 * second));
    BOOST_TEST(!book.redeem(4, false, start + 3 * second));
}

BOOST_AUTO_TEST_CASE(roomIsKeptWhileDueAndGivenUpAfterTheGrace)
{
    // A caller never returns. Room kept for it for ever would turn others away.
    reserve(1, start);
    BOOST_TEST(book.tokensDue(start) == 0);
    BOOST_TEST(book.tokensDue(start + second) == 100);
    BOOST_TEST(book.tokensDue(start + second + reservationGrace) == 100);
    BOOST_TEST(book.tokensDue(start + 2 * second + reservationGrace) == 0);
    BOOST_TEST(!book.redeem(1, false, start + 2 * second + reservationGrace));
    BOOST_TEST(book.isEmpty());
}

BOOST_AUTO_TEST_CASE(aRetryFromAnotherHostUsesTheOldestDueAndANewcomerNone)
{
    // The balancer sends a returning caller to another host than the one that refused it.
    reserve(1, start);
    reserve(2, start);
    BOOST_TEST(!book.redeem(9, false, start + 2 * second));
    BOOST_TEST(book.redeem(9, true, start + 2 * second));
    BOOST_TEST(!book.redeem(1, false, start + 2 * second));
    BOOST_TEST(book.redeem(2, false, start + 2 * second));
}

BOOST_AUTO_TEST_CASE(theBookIsBounded)
{
    std::int64_t longest = 0;
    for (std::uint64_t caller = 1; caller <= 20'000; ++caller) {
        longest = std::max(longest, reserve(caller, start));
    }
    BOOST_TEST(longest == 600);
}

BOOST_AUTO_TEST_SUITE_END()
