#define BOOST_TEST_MODULE large_bodies
#include <array>
#include <fstream>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

using Connection = ScriptedTarget::Connection;
using Request = ScriptedTarget::Request;

constexpr std::size_t bodyBytes = 4'194'304;
constexpr std::size_t budgetBytes = 44'000'000;
constexpr std::size_t callers = 26;

/// Of this process, from the kernel.
std::size_t residentBytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1'024;
        }
    }
    return 0;
}

/// Sends a request and returns the first line of the answer; the caller stops sending once an answer arrives.
std::string statusLine(std::uint16_t port, const std::string &request)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    std::string answer;
    std::array<char, 4'096> buffer{};
    try {
        std::string_view rest = request;
        while (!rest.empty() && !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            rest.remove_prefix(static_cast<std::size_t>(socket.sendBytes(rest.data(), static_cast<int>(std::min<std::size_t>(rest.size(), 65'536)))));
        }
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        while (answer.find("\r\n\r\n") == std::string::npos) {
            const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (got <= 0) {
                break;
            }
            answer.append(buffer.data(), static_cast<std::size_t>(got));
        }
    } catch (const Poco::Exception &) {
    }
    return answer;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(LargeBodies, GatewayFixture)

// Guards against a host that is killed for its memory, with the requests of others, because it takes in more large bodies at once than fit.
BOOST_AUTO_TEST_CASE(bodiesThatDoNotFitAreRefusedAtOnceAndTheOthersServed)
{
    RoutingTable large = table(2);
    large.limits.bodyBytes = bodyBytes;
    large.limits.headTimeout = 5s;
    configure(large);
    onLoop([](Gateway &gateway) { gateway.callerBuffers().setTotal(budgetBytes); });
    std::atomic<std::size_t> wrongBodies = 0;
    for (const std::string id : {"a", "b"}) {
        addTarget(id, [&wrongBodies](Connection &connection, const Request &request) {
            wrongBodies += request.body.size() == bodyBytes || request.body == "small" ? 0 : 1;
            std::this_thread::sleep_for(300ms);
            connection.answer(request, 200, "whole");
        });
    }
    const std::string text = request("POST", "/once/x", std::string(bodyBytes, 'x'));
    std::vector<std::string> answers(callers);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] { answers[i] = statusLine(port(), text); });
    }
    std::size_t mostReserved = 0;
    for (int i = 0; i < 50; ++i) {
        onLoop([&mostReserved](Gateway &gateway) { mostReserved = std::max(mostReserved, gateway.callerBuffers().reserved()); });
        std::this_thread::sleep_for(10ms);
    }
    const std::string small = exchange(request("POST", "/once/x", "small"));
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const std::string &answer : answers) {
        served += answer.starts_with("HTTP/1.1 200 ") ? 1 : 0;
        refused += answer.starts_with("HTTP/1.1 503 ") && contains(answer, "Retry-After") ? 1 : 0;
    }
    BOOST_TEST(small.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(mostReserved <= budgetBytes);
    BOOST_TEST(served >= budgetBytes / bodyBytes - 1);
    BOOST_TEST(served + refused == callers);
    BOOST_TEST(wrongBodies == 0U);
    std::size_t left = 1;
    onLoop([&left](Gateway &gateway) { left = gateway.callerBuffers().reserved(); });
    BOOST_TEST(left == 0U);
}

// Guards against copies of a body on its way to a target that does not read.
BOOST_AUTO_TEST_CASE(aBodyOnItsWayToATargetIsHeldOnce)
{
    RoutingTable large = table(2);
    large.limits.bodyBytes = 16 * bodyBytes;
    large.limits.headTimeout = 5s;
    configure(large);
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    addTargetAt("silent", silent.address().port());
    std::string text = request("POST", "/once/x", std::string(16 * bodyBytes, 'x'));
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
    const std::size_t before = residentBytes();
    for (std::string_view rest = text; !rest.empty();) {
        rest.remove_prefix(static_cast<std::size_t>(socket.sendBytes(rest.data(), static_cast<int>(std::min<std::size_t>(rest.size(), 65'536)))));
    }
    std::this_thread::sleep_for(300ms);
    settle();
    const std::size_t held = residentBytes() - before;
    BOOST_TEST(held >= 15 * bodyBytes);
    BOOST_TEST(held <= 18 * bodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()
