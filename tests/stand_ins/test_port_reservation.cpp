#include <algorithm>

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/test/unit_test.hpp>

#include "drivers/listener.h"
#include "tests/stand_ins/link_proxy.h"
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

// Guards against a host that can't listen on its reserved port, at its start or when it starts again, and against another program that listens there.
BOOST_AUTO_TEST_CASE(aReservedPortIsFreeForHostsOnly)
{
    const PortReservation reservation(1, 5'432);
    const Poco::Net::SocketAddress address("127.0.0.1", reservation.ports().front());
    for (int start = 0; start < 2; ++start) {
        const Poco::Net::ServerSocket host = Lovageloft::listenExclusively(address, 1);
        BOOST_TEST(host.address().port() == address.port());
    }
    const Poco::Net::DatagramSocket datagrams(address, false);
    Poco::Net::ServerSocket other;
    BOOST_CHECK_THROW(other.bind(address, false, false), Poco::Exception);
}

// Guards against a link whose port another test gets while it refuses connections: requests would reach that test's targets.
BOOST_AUTO_TEST_CASE(aLinkKeepsItsPortWhileItRefusesConnections)
{
    constexpr std::size_t firstPort = 10'000;
    for (const LinkMode mode : {LinkMode::Reset, LinkMode::RefusesNew}) {
        LinkProxy link(1);
        link.setMode(mode);
        const PortReservation other(1, link.port() - firstPort);
        BOOST_REQUIRE(other.ports().size() == 1U);
        BOOST_TEST(other.ports().front() != link.port());
        link.setMode(LinkMode::Up);
        BOOST_TEST(link.port() != other.ports().front());
    }
}
