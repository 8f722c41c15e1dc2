#define BOOST_TEST_MODULE pipelined_requests
#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "drivers/http_answer_collector.h"
#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

using Connection = ScriptedTarget::Connection;
using Request = ScriptedTarget::Request;

/// Sends bytes in random pieces, with random pauses.
void sendInPieces(Poco::Net::StreamSocket &socket, std::string_view bytes, Random &random)
{
    while (!bytes.empty()) {
        const std::size_t size = 1 + randomBelow(random, std::min<std::size_t>(bytes.size(), 400));
        socket.sendBytes(bytes.data(), static_cast<int>(size));
        bytes.remove_prefix(size);
        if (randomBelow(random, 3) == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(randomBelow(random, 20)));
        }
    }
}

/// Reads until `count` answers are complete or the connection ends; returns the bodies of the complete ones.
std::vector<std::string> readBodies(Poco::Net::StreamSocket &socket, std::size_t count)
{
    std::vector<std::string> bodies;
    std::string pending;
    std::array<char, 4'096> buffer{};
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    try {
        while (bodies.size() < count) {
            const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (got <= 0) {
                break;
            }
            pending.append(buffer.data(), static_cast<std::size_t>(got));
            while (true) {
                HttpAnswerCollector collector({});
                Reason reason;
                const std::size_t head = pending.find("\r\n\r\n");
                if (!collector.read(pending, reason) || !collector.isComplete() || head == std::string::npos) {
                    break;
                }
                bodies.push_back(collector.body());
                pending.erase(0, head + 4 + *collector.bodyBytes());
            }
        }
    } catch (const Poco::Exception &) { // The connection was reset: what follows is lost.
    }
    return bodies;
}

/// Requests whose bodies quote other requests.
std::vector<std::string> randomBodies(Random &random)
{
    std::vector<std::string> bodies;
    for (std::size_t i = 0; i < 8; ++i) {
        const std::string quoted = GatewayFixture::request("POST", "/once/quoted", "smuggled");
        bodies.push_back("body " + std::to_string(i) + ' ' + (randomBelow(random, 2) == 0 ? quoted : std::string())
                         + std::string(randomBelow(random, 300), 'x'));
    }
    return bodies;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PipelinedRequests)

// Guards against answers in another order than their requests, and against parts of a body that run as a request (request smuggling), when bytes arrive
// while an answer ends or the host stands still.
BOOST_DATA_TEST_CASE_F(GatewayFixture, whatArrivesIsWhatWasSentInItsOrder, boost::unit_test::data::xrange(24), seed)
{
    Random random(static_cast<std::uint64_t>(seed));
    addTarget("a", [](Connection &connection, const Request &request) {
        std::this_thread::sleep_for(std::chrono::milliseconds(request.body.size() % 7));
        connection.answer(request, 200, request.body);
    });
    const std::vector<std::string> sent = randomBodies(random);
    std::string text;
    for (const std::string &body : sent) {
        text += request("POST", randomBelow(random, 2) == 0 ? "/once/x" : "/safe/x", body);
    }
    std::atomic<bool> isDone = false;
    std::thread pauses([this, &isDone, seed] {
        Random times(static_cast<std::uint64_t>(seed) + 1'000);
        while (!isDone) {
            std::this_thread::sleep_for(std::chrono::milliseconds(randomBelow(times, 30)));
            holdUp(std::chrono::milliseconds(randomBelow(times, 40)));
        }
    });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
    std::vector<std::string> answered;
    std::thread reader([&] { answered = readBodies(socket, sent.size()); });
    sendInPieces(socket, text, random);
    reader.join();
    isDone = true;
    pauses.join();
    BOOST_TEST(answered == sent, boost::test_tools::per_element());
}

// Guards against a request that was read, in one packet with the one before it, and gets no answer as its host shuts down.
BOOST_FIXTURE_TEST_CASE(aRequestReadBeforeAShutdownIsAnswered, GatewayFixture)
{
    addTarget("a", [](Connection &connection, const Request &request) {
        if (request.body == "stream") {
            connection.beginStream(request);
            connection.sendEvent(1);
            connection.waitClosed(500ms);
            connection.endStream();
            return;
        }
        connection.answer(request, 200, request.body);
    });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
    const std::string text = request("POST", "/stream/x", "stream") + request("POST", "/safe/x", "read");
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    std::this_thread::sleep_for(150ms);
    drain();
    std::string answers;
    std::array<char, 4'096> buffer{};
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    for (int got = 1; got > 0; answers.append(buffer.data(), static_cast<std::size_t>(got))) {
        got = std::max(socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())), 0);
    }
    BOOST_TEST(answers.ends_with("read"));
    BOOST_TEST(contains(answers, "Connection: close"));
    BOOST_TEST(hasStopped());
}

BOOST_AUTO_TEST_SUITE_END()
