#include "drivers/listener.h"

namespace Lovageloft
{

// The constructor of ServerSocket that takes an address sets SO_REUSEPORT: the kernel would then share connections out between two processes
// that listen on the same port.
Poco::Net::ServerSocket listenExclusively(const Poco::Net::SocketAddress &address, int backlog)
{
    constexpr bool reuseAddress = true;
    constexpr bool reusePort = false;
    Poco::Net::ServerSocket socket;
    socket.bind(address, reuseAddress, reusePort);
    socket.listen(backlog);
    return socket;
}

} // namespace Lovageloft
