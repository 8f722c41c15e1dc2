#define BOOST_TEST_MODULE request_after_idle
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// A caller that keeps its connection.
class KeptCaller
{
public:
    explicit KeptCaller(std::uint16_t port)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
    {
        socket_.setReceiveTimeout(Poco::Timespan(5, 0));
    }

    void send(std::string_view bytes)
    {
        socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    /// What has come once `end` has, or the connection's end.
    std::string readUntil(std::string_view end)
    {
        std::string text;
        std::array<char, 4'096> buffer{};
        int got = 1;
        while (got > 0 && !contains(text, end)) {
            got = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            text.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
        }
        return text;
    }

private:
    Poco::Net::StreamSocket socket_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestThatArrivesWhileTheHostStandsStillIsNotRefusedForTheIdleTimeBeforeIt, GatewayFixture)
{
    // A caller's kept connection is idle, and its host is frozen by its machine until after the idle time. Meanwhile the caller sends the
    // first part of a request, as large bodies come in parts. The caller got 408, as if it had sent too slowly, though the time for its
    // request had only just begun.
    static constexpr Duration idleTime = 300ms;
    RoutingTable limited = table(2);
    limited.limits.idleTimeout = idleTime;
    limited.limits.headTimeout = 3s;
    configure(limited);
    addTarget("a", [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { connection.answer(request, 200, request.body); });
    KeptCaller caller(port());
    caller.send(request("POST", "/once/x", "first"));
    BOOST_REQUIRE(caller.readUntil("first").starts_with("HTTP/1.1 200 "));
    settle(); // The connection is idle from here on.
    holdUp(idleTime * 2);
    const std::string second = request("POST", "/once/x", "second");
    const std::size_t half = second.size() - 3;
    caller.send(std::string_view(second).substr(0, half));
    settle();
    caller.send(std::string_view(second).substr(half));
    const std::string answer = caller.readUntil("second");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
}
