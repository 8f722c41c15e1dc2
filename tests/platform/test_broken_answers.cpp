#define BOOST_TEST_MODULE broken_answers
#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "drivers/http_answer_collector.h"
#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

using Connection = ScriptedTarget::Connection;
using Request = ScriptedTarget::Request;

/// More than a host holds back of an answer that is not complete.
constexpr std::size_t sentBytes = 300'000;
constexpr std::size_t wholeBytes = 400'000;

constexpr std::size_t host = 0;
constexpr std::size_t otherHost = 1;

/// What ends an answer that has begun.
enum class End
{
    Deadline,
    TargetClosed,
    TargetReset,
    LinkLost,
    RelayKilled,
};

struct Ending
{
    std::string name;
    End end;
};

std::ostream &operator<<(std::ostream &out, const Ending &ending)
{
    return out << ending.name;
}

/// What a caller got, and whether its connection ended with a reset.
struct Received
{
    std::string bytes;
    bool wasReset = false;
};

Received exchange(std::uint16_t port, const std::string &request)
{
    Received received;
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(4, 0));
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::array<char, 65'536> buffer{};
    try {
        for (int got = 1; got > 0; received.bytes.append(buffer.data(), static_cast<std::size_t>(got))) {
            got = std::max(socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())), 0);
        }
    } catch (const Poco::TimeoutException &) {
    } catch (const Poco::Exception &) {
        received.wasReset = true;
    }
    return received;
}

const std::vector<Ending> endings{{"deadline", End::Deadline},
                                  {"target closed", End::TargetClosed},
                                  {"target reset", End::TargetReset},
                                  {"link lost", End::LinkLost},
                                  {"relay killed", End::RelayKilled}};

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenAnswers)

// Guards against a second answer within the body of one that has begun, and against a broken one that looks complete, whatever ends it.
BOOST_DATA_TEST_CASE(aBegunAnswerIsBrokenOffSoThatItsCallerCanTell,
                     boost::unit_test::data::make(endings) * boost::unit_test::data::make({"1.1", "1.0"})
                         * boost::unit_test::data::make({"/once/x", "/safe/x", "/stream/x"}),
                     ending,
                     version,
                     path)
{
    FleetFixture fleet;
    const bool isRelayed = ending.end == End::RelayKilled;
    std::atomic<bool> isLong = false;
    std::atomic<bool> hasBegun = false;
    fleet.addTarget("a", [&](Connection &connection, const Request &request) {
        if (!isLong) {
            connection.answer(request, 200, "whole");
            return;
        }
        const std::string body(wholeBytes, 'x');
        connection.send("HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id")
                        + "\r\nLovageloft-Response-Stamp: s\r\nContent-Length: " + std::to_string(wholeBytes) + "\r\n\r\n");
        connection.send(std::string_view(body).substr(0, sentBytes));
        std::this_thread::sleep_for(200ms);
        hasBegun = true;
        if (ending.end == End::TargetClosed) {
            connection.close();
        } else if (ending.end == End::TargetReset) {
            connection.reset();
        } else {
            connection.waitClosed(2s);
        }
    });
    if (isRelayed) {
        fleet.setLinks(host, StandIns::LinkMode::Reset);
        fleet.servedShare(host, "GET", "/safe/x", 1s);
    }
    isLong = true;
    std::string request = GatewayFixture::request(std::string(path) == "/safe/x" ? "GET" : "POST", path, "body");
    request.replace(request.find("HTTP/1.1"), 8, std::string("HTTP/") + version);
    Received received;
    std::thread caller([&] { received = exchange(fleet.callerPort(host), request); });
    while (!hasBegun) {
        std::this_thread::sleep_for(1ms);
    }
    if (ending.end == End::LinkLost) {
        fleet.setLinks(host, StandIns::LinkMode::Reset);
    } else if (ending.end == End::RelayKilled) {
        fleet.kill(otherHost);
    }
    caller.join();
    const std::size_t second = received.bytes.find("HTTP/1.", 1);
    BOOST_TEST(second == std::string::npos);
    HttpAnswerCollector collector({});
    Reason reason;
    const bool isReadable = collector.read(received.bytes, reason);
    const bool isTakenForComplete = isReadable && (collector.isComplete() || (!received.wasReset && collector.readEnd()));
    BOOST_TEST((!isTakenForComplete || collector.head().status != 200));
}

BOOST_AUTO_TEST_SUITE_END()
