/// What reading a prompt from one socket and writing it to another costs and nothing else: the floor for a router's work.
/// Prints the processor time of one such copy for 100 KB and 1 MB, over TCP on the loopback address.

#include <array>
#include <cstdio>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/resource.h>

namespace
{

using Poco::Net::StreamSocket;

struct Connection
{
    StreamSocket near;
    StreamSocket far;
};

Connection connect()
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Connection connection;
    connection.near.connect(listener.address());
    connection.far = listener.acceptConnection();
    return connection;
}

void sendAll(StreamSocket &socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        sent += static_cast<std::size_t>(socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
}

void receiveAll(StreamSocket &socket, std::string &bytes)
{
    constexpr std::size_t most = 262'144;
    std::size_t received = 0;
    while (received < bytes.size()) {
        const auto room = static_cast<int>(std::min(most, bytes.size() - received));
        received += static_cast<std::size_t>(socket.receiveBytes(bytes.data() + received, room));
    }
}

double threadSeconds()
{
    constexpr double microsecond = 1e-6;
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * microsecond; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double copySeconds(std::size_t size, int rounds)
{
    Connection in = connect();
    Connection out = connect();
    std::thread source([&] {
        const std::string bytes(size, 'x');
        for (int i = 0; i < rounds; ++i) {
            sendAll(in.near, bytes);
        }
    });
    std::thread sink([&] {
        std::string bytes(size, ' ');
        for (int i = 0; i < rounds; ++i) {
            receiveAll(out.far, bytes);
        }
    });
    std::string bytes(size, ' ');
    const double before = threadSeconds();
    for (int i = 0; i < rounds; ++i) {
        receiveAll(in.far, bytes);
        sendAll(out.near, bytes);
    }
    const double used = threadSeconds() - before;
    source.join();
    sink.join();
    return used / rounds;
}

} // namespace

int main()
{
    constexpr int rounds = 500;
    constexpr double milliseconds = 1e3;
    for (const std::size_t size : {std::size_t{100'000}, std::size_t{1'000'000}}) {
        std::printf("copy_%zu_bytes cpu_ms %.4f\n", size, milliseconds * copySeconds(size, rounds));
    }
    return 0;
}
