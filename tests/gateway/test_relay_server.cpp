#include <chrono>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

#include "gateway/relay_server.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// Leaves this process without a descriptor for anything new as long as this object exists.
class WithoutDescriptors
{
public:
    WithoutDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit none{0, before_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &none);
    }

    ~WithoutDescriptors()
    {
        ::setrlimit(RLIMIT_NOFILE, &before_);
    }

    WithoutDescriptors(const WithoutDescriptors &) = delete;
    WithoutDescriptors &operator=(const WithoutDescriptors &) = delete;

private:
    rlimit before_{};
};

} // namespace

// Guards against an event loop that spins while the process has no descriptor for a connection that waits, and against one that never takes it.
BOOST_AUTO_TEST_CASE(withoutDescriptorsTheLoopDoesNotSpin)
{
    constexpr std::size_t maxHandlers = 50;
    using boost::asio::ip::tcp;
    boost::asio::io_context loop;
    Metrics metrics;
    RelayServer::Links links;
    links.isHost = [](const boost::asio::ip::address &) { return false; };
    RelayServer server(loop, links, metrics);
    Reason reason;
    BOOST_REQUIRE(server.open({"127.0.0.1", 0}, reason));
    tcp::socket peer(loop);
    peer.connect({boost::asio::ip::address_v4::loopback(), server.port()});
    {
        const WithoutDescriptors none;
        BOOST_TEST(loop.run_for(200ms) < maxHandlers);
    }
    bool hasEnded = false;
    char byte = 0;
    boost::asio::async_read(
        peer, boost::asio::buffer(&byte, 1), [&hasEnded](const boost::system::error_code &error, std::size_t) { hasEnded = error == boost::asio::error::eof; });
    for (int i = 0; i < 500 && !hasEnded; ++i) {
        loop.run_for(10ms);
    }
    BOOST_TEST(hasEnded);
}
