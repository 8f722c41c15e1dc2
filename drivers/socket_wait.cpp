#include "drivers/socket_wait.h"

#include <array>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace Lovageloft
{

WaitResult waitForTarget(int targetSocket, int callerSocket, Duration timeout)
{
    std::array<pollfd, 2> sockets{{{targetSocket, POLLIN, 0}, {callerSocket, POLLRDHUP, 0}}};
    const TimePoint deadline = BootClock::now() + timeout;
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - BootClock::now()).count();
        const int ready = poll(sockets.data(), sockets.size(), static_cast<int>(left > 0 ? left : 0));
        if (ready > 0 && sockets[0].revents != 0) {
            return WaitResult::Readable;
        }
        if (ready > 0) {
            return WaitResult::CallerGone;
        }
        if (ready == 0 && left <= 0) {
            return WaitResult::TimedOut;
        }
        if (ready < 0 && errno != EINTR) {
            return WaitResult::TimedOut;
        }
    }
}

bool isClosedByPeer(int socket)
{
    pollfd watched{socket, POLLRDHUP, 0};
    return poll(&watched, 1, 0) > 0;
}

} // namespace Lovageloft
