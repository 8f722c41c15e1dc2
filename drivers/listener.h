#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace Lovageloft
{

/// A listening socket whose port no other socket can listen on. Port 0 stands for any free port. `backlog` counts connections that wait to be
/// accepted. Throws Poco::Net::NetException if the port is taken.
Poco::Net::ServerSocket listenExclusively(const Poco::Net::SocketAddress &address, int backlog);

} // namespace Lovageloft
