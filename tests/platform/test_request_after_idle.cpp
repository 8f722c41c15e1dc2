#define BOOST_TEST_MODULE request_after_idle
#include <future>

#include <Poco/Exception.h>
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
            got = receive(buffer);
            text.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
        }
        return text;
    }

private:
    int receive(std::array<char, 4'096> &buffer)
    {
        try {
            return socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        } catch (const Poco::Exception &) {
            return 0; // A reset shows as an answer that is missing.
        }
    }

    Poco::Net::StreamSocket socket_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aRequestThatArrivesWhileTheHostStandsStillIsNotRefusedForTheIdleTimeBeforeIt, GatewayFixture)
{
    // A caller's kept connection is idle, and its host is frozen by its machine until after the idle time. Meanwhile the caller sends the
    // first part of a request, as large bodies come in parts. The caller got 408, as if it had sent too slowly, though the time for its
    // request had only just begun.
    static constexpr Duration idleTime = 1s;
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

BOOST_FIXTURE_TEST_CASE(requestsThatArrivedAreReadBeforeTheirConnectionsAreClosedAsIdle, GatewayFixture)
{
    // The same with many callers, who send whole requests. One turn of the event loop takes the bytes of some connections, but the ended
    // times of all. Connections that were closed before their bytes were read answered a request with a reset: the caller of a call that
    // must run once can't know whether it has.
    static constexpr std::size_t callerCount = 200;
    static constexpr Duration idleTime = 4s;
    RoutingTable patient = table(2);
    patient.limits.idleTimeout = idleTime;
    configure(patient);
    onLoop([](Gateway &gateway) {
        GatewayLimits limits;
        limits.configurationWindow = 1h; // No proof of the configuration comes here.
        gateway.setLimits(limits);
    });
    std::vector<KeptCaller> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back(port());
    }
    callers.back().send(request("GET", "/none/x"));
    BOOST_REQUIRE(callers.back().readUntil("not_run").starts_with("HTTP/1.1 404 ")); // The last one is accepted, and so are all.
    std::promise<void> heldUp;
    std::promise<void> sent;
    std::thread holder([&] {
        onLoop([&](Gateway &) {
            heldUp.set_value();
            sent.get_future().wait();
        });
    });
    heldUp.get_future().wait();
    std::this_thread::sleep_for(idleTime + 200ms);
    for (KeptCaller &caller : callers) {
        caller.send(request("GET", "/none/x"));
    }
    sent.set_value();
    holder.join();
    std::size_t answered = 0;
    for (KeptCaller &caller : callers) {
        answered += caller.readUntil("not_run").starts_with("HTTP/1.1 404 ") ? 1 : 0;
    }
    BOOST_TEST(answered == callerCount);
}
