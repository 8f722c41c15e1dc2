#include <fstream>
#include <iomanip>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "drivers/http_connection.h"
#include "drivers/http_exchange.h"
#include "tests/stand_ins/scripted_target.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// How a target frames an answer with the body "{\"a\":1}\n{\"b\":2}\n".
struct Framing
{
    std::string name;
    std::string answer;
    bool endsWithConnection = false;
};

constexpr std::string_view wholeBody = "{\"a\":1}\n{\"b\":2}\n";

const std::vector<Framing> framings{
    {"length", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"a\":1}\n{\"b\":2}\n"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"a\":1}\n\r\n8\r\n{\"b\":2}\n\r\n0\r\n\r\n"},
    {"close", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"a\":1}\n{\"b\":2}\n", true},
    {"interim", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"a\":1}\n{\"b\":2}\n"},
};

/// A client of the product: returns the body if it takes the answer for complete.
struct Client
{
    std::string name;
    std::optional<std::string> (*fetch)(std::uint16_t port);
};

std::optional<std::string> fetchWhole(std::uint16_t port)
{
    Reason reason;
    HttpExchange exchange({"127.0.0.1", port}, {1s, 2s});
    BOOST_REQUIRE(exchange.connect(reason));
    if (!exchange.send({"POST", "/x", {}, "application/json", "{}"}, reason) || !exchange.readHead(-1, reason)) {
        return std::nullopt;
    }
    return exchange.readAll(1'000, -1, reason);
}

std::optional<std::string> fetchInPieces(std::uint16_t port)
{
    Reason reason;
    HttpExchange exchange({"127.0.0.1", port}, {1s, 2s});
    BOOST_REQUIRE(exchange.connect(reason));
    if (!exchange.send({"POST", "/x", {}, "application/json", "{}"}, reason) || !exchange.readHead(-1, reason)) {
        return std::nullopt;
    }
    std::string body;
    std::optional<std::size_t> count = 1;
    while (count && *count > 0) {
        count = exchange.read(body, -1, reason);
    }
    return count ? std::optional(body) : std::nullopt;
}

std::optional<std::string> callOnKeptConnection(std::uint16_t port)
{
    const auto connection = HttpConnection::open({"127.0.0.1", port}, 1s);
    BOOST_REQUIRE(connection != nullptr);
    const auto answer = connection->call("/x", "{}", BootClock::now() + 2s);
    BOOST_TEST((answer || !connection->isReusable()));
    return answer ? std::optional(answer->body) : std::nullopt;
}

const std::vector<Client> clients{{"exchange", &fetchWhole}, {"exchange in pieces", &fetchInPieces}, {"connection", &callOnKeptConnection}};

/// The kernel's line about the connection between two ports of the loopback interface, as in /proc/net/tcp. The local port may also stand in lines about
/// connections to other ports that have ended.
std::string kernelLine(std::uint16_t localPort, std::uint16_t remotePort)
{
    std::ostringstream wanted;
    wanted << std::uppercase << std::hex << std::setfill('0') << "0100007F:" << std::setw(4) << localPort << " 0100007F:" << std::setw(4) << remotePort << ' ';
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        if (line.find(wanted.str()) != std::string::npos) {
            return line;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(IncompleteAnswersTest)

// Guards against answers that a target broke off, within the head or later, and that callers get as complete.
BOOST_AUTO_TEST_CASE(anAnswerThatStopsAnywhereIsIncompleteForEachClient)
{
    std::string_view sent;
    bool isReset = false;
    ScriptedTarget target([&](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &) {
        connection.send(sent);
        isReset ? connection.reset() : connection.close();
    });
    for (const Framing &framing : framings) {
        const std::size_t headEnd = framing.answer.rfind("\r\n\r\n{") + 4;
        for (std::size_t size = 0; size <= framing.answer.size(); ++size) {
            for (const bool reset : {false, true}) {
                sent = std::string_view(framing.answer).substr(0, size);
                isReset = reset;
                // An answer without a length ends with its connection, wherever that is closed.
                const bool isWhole = framing.endsWithConnection ? !reset && size >= headEnd : size == framing.answer.size();
                for (const Client &client : clients) {
                    const auto body = client.fetch(target.port());
                    const bool isLost = reset && !body; // A reset drops what the client has not read.
                    BOOST_TEST((body.has_value() == isWhole || isLost), client.name << ", " << framing.name << ", " << size << " bytes, reset: " << reset);
                    BOOST_TEST((!body || size < framing.answer.size() || *body == wholeBody));
                }
            }
        }
    }
}

// Guards against the end of a stream of lines that is taken for its last line, or for a pause.
BOOST_AUTO_TEST_CASE(aStreamOfLinesThatStopsAnywhereIsBroken)
{
    const std::string &answer = framings[1].answer;
    std::size_t size = 0;
    ScriptedTarget target([&](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &) {
        connection.send(std::string_view(answer).substr(0, size));
        connection.close();
    });
    for (; size <= answer.size(); ++size) {
        const auto connection = HttpConnection::open({"127.0.0.1", target.port()}, 1s);
        BOOST_REQUIRE(connection != nullptr);
        if (!connection->startStream("/x", "{}", BootClock::now() + 2s, 1'000)) {
            BOOST_TEST(size < answer.find("\r\n\r\n") + 4);
            continue;
        }
        std::string line;
        std::vector<std::string> lines;
        HttpLineStatus status = HttpLineStatus::Line;
        while ((status = connection->readLine(line, BootClock::now() + 2s)) == HttpLineStatus::Line) {
            lines.push_back(line);
        }
        BOOST_TEST((status == HttpLineStatus::Broken));
        BOOST_TEST(lines.size() <= 2U);
        BOOST_TEST((lines.empty() || lines[0] == "{\"a\":1}"));
    }
}

BOOST_AUTO_TEST_CASE(aPauseWithinAChunkSizeBreaksNoStreamOfLines)
{
    ScriptedTarget target([&](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &) {
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na\n\r\n1");
        std::this_thread::sleep_for(100ms);
        connection.send("0\r\n0123456789abcde\n\r\n0\r\n\r\n");
    });
    const auto connection = HttpConnection::open({"127.0.0.1", target.port()}, 1s);
    BOOST_REQUIRE(connection->startStream("/x", "{}", BootClock::now() + 2s, 1'000));
    std::string line;
    BOOST_TEST((connection->readLine(line, BootClock::now() + 2s) == HttpLineStatus::Line));
    BOOST_TEST((connection->readLine(line, BootClock::now() + 10ms) == HttpLineStatus::Timeout));
    BOOST_TEST((connection->readLine(line, BootClock::now() + 2s) == HttpLineStatus::Line));
    BOOST_TEST(line == "0123456789abcde");
}

// Guards against a second connection for each request, and against one without the probes that notice a dead target.
BOOST_AUTO_TEST_CASE(anExchangeUsesOneConnectionWithKeepAliveProbes)
{
    std::atomic<std::uint16_t> clientPort = 0;
    std::atomic<std::uint16_t> targetPort = 0;
    std::string line;
    ScriptedTarget target([&](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &) {
        clientPort = connection.peerPort();
        std::this_thread::sleep_for(50ms); // Until the request is acknowledged: then only the timer of the probes runs.
        line = kernelLine(clientPort, targetPort);
        connection.send(framings[0].answer);
    });
    targetPort = target.port();
    for (int i = 0; i < 7; ++i) {
        BOOST_TEST((fetchWhole(target.port()) == wholeBody));
    }
    BOOST_TEST(target.requests() == 7);
    BOOST_TEST(target.connections() == 7);
    // Columns: entry, local address, remote address, state, queues, timer and when it expires in hundredths of a second. Timer 2 is for probes.
    std::istringstream columns(line);
    std::string timer;
    for (int i = 0; i < 6; ++i) {
        columns >> timer;
    }
    BOOST_REQUIRE(timer.size() > 3);
    BOOST_TEST(timer.substr(0, 2) == "02");
    BOOST_TEST(std::stoul(timer.substr(3), nullptr, 16) <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
