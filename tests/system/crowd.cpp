#include "tests/system/crowd.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Lovageloft
{

namespace
{

void raiseDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int connectTo(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    if (descriptor >= 0 && ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        return descriptor;
    }
    ::close(descriptor);
    return -1;
}

} // namespace

Crowd::~Crowd()
{
    std::for_each(sockets_.begin(), sockets_.end(), [](int descriptor) { ::close(descriptor); });
}

void Crowd::open(std::uint16_t port, std::size_t count, std::string_view bytes)
{
    raiseDescriptorLimit();
    std::vector<std::pair<pollfd, std::size_t>> unsent; // And how much of the bytes each has sent.
    for (std::size_t i = 0; i < count; ++i) {
        const int descriptor = connectTo(port);
        if (descriptor >= 0) {
            sockets_.push_back(descriptor);
            unsent.push_back({{descriptor, POLLOUT, 0}, 0});
        }
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    while (!unsent.empty() && std::chrono::steady_clock::now() < deadline) {
        std::erase_if(unsent, [bytes](auto &entry) {
            auto &[wait, sent] = entry;
            if (::poll(&wait, 1, 0) == 0) {
                return false;
            }
            const auto got = ::send(wait.fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent += got > 0 ? static_cast<std::size_t>(got) : 0;
            return got < 0 || sent == bytes.size();
        });
        constexpr timespec pause{0, 1'000'000};
        ::nanosleep(&pause, nullptr);
    }
}

void Crowd::sip()
{
    std::array<char, 64> bytes{};
    for (const int descriptor : sockets_) {
        ::recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    }
}

/// The kernel's table has a line a socket: number, own address, peer's address, state, and the queues as UNSENT:UNREAD, all but the number in hex.
std::size_t unreadBytes(std::uint16_t port)
{
    constexpr int hex = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t sum = 0;
    std::string number;
    std::string own;
    std::string peer;
    std::string state;
    std::string queues;
    while (table >> number >> own >> peer >> state >> queues && std::getline(table, line)) {
        constexpr std::string_view listening = "0A";
        const bool isConnection = state != listening;
        if (isConnection && std::stoul(own.substr(own.find(':') + 1), nullptr, hex) == port) {
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hex);
        }
    }
    return sum;
}

} // namespace Lovageloft
