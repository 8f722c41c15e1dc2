#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/stand_ins/port_reservation.h"

using namespace Lovageloft::StandIns;

// Guards against two tests that get the same port: the host that is started later could not listen on it.
BOOST_AUTO_TEST_CASE(aReservedPortIsNotReservedAgain)
{
    constexpr std::size_t start = 4'321;
    const PortReservation first(5, start);
    const PortReservation second(5, start);
    BOOST_REQUIRE(first.ports().size() == 5U);
    BOOST_REQUIRE(second.ports().size() == 5U);
    for (const std::uint16_t port : second.ports()) {
        BOOST_TEST(std::count(first.ports().begin(), first.ports().end(), port) == 0);
    }
}
