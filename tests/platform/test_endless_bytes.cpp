#define BOOST_TEST_MODULE endless_bytes
#include <array>
#include <atomic>
#include <fstream>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t maxSentBytes = 100'000'000;

/// Memory that the gateway and the test may take meanwhile.
constexpr std::size_t maxGrowthBytes = 16'000'000;

/// Memory of this process in RAM.
std::size_t residentBytes()
{
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// What a target in trouble sends: the start of an answer, and then the same bytes without end.
struct EndlessAnswer
{
    std::string_view name;
    std::string_view start;
    std::string_view repeated;
};

std::ostream &operator<<(std::ostream &out, const EndlessAnswer &answer)
{
    return out << answer.name;
}

const std::vector<EndlessAnswer> endlessAnswers{
    {"a head", "HTTP/1.1 200 OK\r\nX: ", "y"},
    {"a line with a chunk's size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"an extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "y"},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: r\r\n"},
    {"answers to other requests", "", "HTTP/1.1 200 OK\r\nLovageloft-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"},
    {"an event without chunks", "", "data: x"},
};

std::string repeat(std::string_view text)
{
    std::string bytes;
    while (bytes.size() < 16'384) {
        bytes.append(text);
    }
    return bytes;
}

/// Sends the answer until the peer closes the connection; returns how many bytes were sent.
std::size_t sendEndlessly(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request, const EndlessAnswer &answer)
{
    std::string start(answer.start);
    if (answer.name == "an event without chunks") {
        start = "HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id") + "\r\nContent-Type: text/event-stream\r\n\r\n";
    }
    connection.send(start);
    const std::string bytes = repeat(answer.repeated);
    std::size_t sent = start.size();
    while (sent < maxSentBytes && !connection.waitClosed(1ms)) {
        connection.send(bytes);
        sent += bytes.size();
    }
    return sent;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndlessBytesTest, GatewayFixture)

// Guards against a target in trouble that fills the host's memory, or holds its caller, with bytes that never end.
BOOST_DATA_TEST_CASE(aTargetWhoseBytesNeverEndIsLeftAndItsCallerAnswered, boost::unit_test::data::make(endlessAnswers), answer)
{
    const std::size_t before = residentBytes();
    std::atomic<std::size_t> sent = 0;
    addTarget("a", [&](Connection &connection, const Request &request) { sent = sendEndlessly(connection, request, answer); });
    const auto start = std::chrono::steady_clock::now();
    const std::string reply = exchange(request("POST", "/stream/x", "body", "Lovageloft-Deadline-Ms: 4000\r\n"));
    const auto took = std::chrono::steady_clock::now() - start;
    BOOST_TEST(!reply.starts_with("HTTP/1.1 200 "));
    BOOST_TEST((took < 1s));
    settle();
    BOOST_TEST(sent.load() < maxSentBytes);
    BOOST_TEST(residentBytes() < before + maxGrowthBytes);
}

// Guards against a caller without a key that fills the host's memory with the framing of a body that never ends.
BOOST_AUTO_TEST_CASE(aCallerWhoseFramingNeverEndsIsRefusedAndOthersAreServed)
{
    addTarget("a", [](Connection &connection, const Request &request) { connection.answer(request, 200, "whole"); });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
    const std::string head = "POST /public/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::size_t before = residentBytes();
    const auto start = std::chrono::steady_clock::now();
    bool isClosed = false;
    try {
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
        const std::string bytes = repeat("0");
        while (std::chrono::steady_clock::now() - start < 5s) {
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
    } catch (const Poco::Exception &) {
        isClosed = true;
    }
    BOOST_TEST(isClosed);
    BOOST_TEST(residentBytes() < before + maxGrowthBytes);
    BOOST_TEST(exchange(request("POST", "/once/x", "body")).starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_SUITE_END()
