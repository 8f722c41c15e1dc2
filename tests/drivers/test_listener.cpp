#include <Poco/Net/NetException.h>
#include <boost/test/unit_test.hpp>

#include "drivers/listener.h"

using namespace Lovageloft;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;

// Guards against two processes on one port, of which each gets a part of the connections that were meant for the other.
BOOST_AUTO_TEST_CASE(aPortHasOneListener)
{
    const ServerSocket first = listenExclusively(SocketAddress("127.0.0.1", 0), 1);
    BOOST_CHECK_THROW(listenExclusively(first.address(), 1), Poco::Net::NetException);
    BOOST_CHECK_THROW(ServerSocket(first.address(), 1), Poco::Net::NetException);
}
