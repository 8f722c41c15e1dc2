#define BOOST_TEST_MODULE connect_after_standstill
#include <array>
#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "drivers/tcp_connection.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

constexpr Duration connectTimeout = 50ms;
constexpr std::string_view call = "call";
constexpr std::string_view answer = "done";

/// Sends a call as soon as the connection stands, and stops the loop once the connection has answered or ended.
class Caller final : public TcpEvents
{
public:
    explicit Caller(boost::asio::io_context &loop)
        : loop_(loop)
        , connection_(nullptr)
    {
    }

    void connect(std::uint16_t port)
    {
        connection_ = TcpConnection::connect(loop_, {"127.0.0.1", port}, connectTimeout, *this);
    }

    void close()
    {
        connection_->close();
    }

    void onConnected() override
    {
        isConnected = true;
        connection_->send(call);
    }

    void onBytes(std::string_view bytes) override
    {
        received.append(bytes);
        if (received.size() >= answer.size()) {
            loop_.stop();
        }
    }

    void onClosed(bool /*isReset*/) override
    {
        isClosed = true;
        loop_.stop();
    }

    bool isConnected = false;
    bool isClosed = false;
    std::string received;

private:
    boost::asio::io_context &loop_;
    std::shared_ptr<TcpConnection> connection_;
};

/// Answers one call; returns what it got.
std::string answerOneCall(tcp::acceptor &acceptor)
{
    tcp::socket socket = acceptor.accept();
    std::array<char, call.size()> got{};
    boost::system::error_code error;
    const std::size_t size = boost::asio::read(socket, boost::asio::buffer(got), error);
    boost::asio::write(socket, boost::asio::buffer(answer), error);
    return {got.data(), size};
}

} // namespace

BOOST_AUTO_TEST_CASE(aConnectionThatStandsIsNotClosedByATimeoutThatPassedWhileTheHostStoodStill)
{
    // A host begins to connect to a target and is frozen by its machine for longer than a connection may take. The kernel completes the
    // connection meanwhile, so that the call is sent at once when the host goes on; but the time to connect has passed as well. A host
    // that then closes the connection tells the caller of a payment that it may have run, and runs what may be repeated a second time.
    boost::asio::io_context targetLoop;
    tcp::acceptor acceptor(targetLoop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::string got;
    std::thread target([&] { got = answerOneCall(acceptor); });

    boost::asio::io_context loop;
    Caller caller(loop);
    caller.connect(acceptor.local_endpoint().port());
    std::this_thread::sleep_for(connectTimeout * 3);
    loop.run_for(5s);
    BOOST_TEST(caller.isConnected);
    BOOST_TEST(!caller.isClosed);
    BOOST_TEST(caller.received == answer);
    caller.close();
    target.join();
    BOOST_TEST(got == call);
}

BOOST_AUTO_TEST_CASE(aTargetThatDoesNotAcceptIsGivenUpAfterTheTimeout)
{
    // A target whose machine is overrun takes no connections any more: the connection attempts get no reply. A host that waited for them
    // would hold its callers until their deadlines instead of trying another target.
    boost::asio::io_context targetLoop;
    tcp::acceptor acceptor(targetLoop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    acceptor.listen(0);
    tcp::socket filler(targetLoop);
    filler.connect(acceptor.local_endpoint()); // Takes the only place; the kernel drops what comes after it.

    boost::asio::io_context loop;
    Caller caller(loop);
    caller.connect(acceptor.local_endpoint().port());
    loop.run_for(5s);
    BOOST_TEST(!caller.isConnected);
    BOOST_TEST(caller.isClosed);
}
