#define BOOST_TEST_MODULE cut_answers
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

constexpr std::string_view wholeBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// How a target frames its answers.
enum class Framing
{
    Length,
    Chunks,
    Close,
};

/// An answer with `wholeBody`, whose length does not depend on the request.
std::string answerText(Framing framing, const Request &request)
{
    constexpr std::size_t idSize = 12;
    const std::string id = request.field("Lovageloft-Request-Id");
    std::string text = "HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + id + "\r\nX-Padding: " + std::string(idSize - id.size(), 'x')
        + "\r\nLovageloft-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n";
    switch (framing) {
    case Framing::Length:
        return text + "Content-Length: " + std::to_string(wholeBody.size()) + "\r\n\r\n" + std::string(wholeBody);
    case Framing::Chunks:
        return text + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + std::string(wholeBody.substr(0, 15)) + "\r\nf\r\n" + std::string(wholeBody.substr(15))
            + "\r\n0\r\n\r\n";
    case Framing::Close:
        return text + "\r\n" + std::string(wholeBody);
    }
    return {};
}

/// The body of a success that a caller takes for complete; nothing if it sees a failure or that the answer was broken off.
std::optional<std::string> completeBody(const std::string &answer)
{
    HttpAnswerCollector collector({});
    Reason reason;
    const bool isComplete = collector.read(answer, reason) && (collector.isComplete() || collector.readEnd());
    return isComplete && collector.head().status == 200 ? std::optional(collector.body()) : std::nullopt;
}

struct Route
{
    std::string method;
    std::string path;
};

std::ostream &operator<<(std::ostream &out, const Route &route)
{
    return out << route.method << ' ' << route.path;
}

const std::vector<Route> routes{{"POST", "/once/x"}, {"GET", "/safe/x"}, {"POST", "/stream/x"}, {"POST", "/resume/x"}};

} // namespace

BOOST_AUTO_TEST_SUITE(CutAnswers)

// Guards against answers that a target broke off, within the head or later, and that callers get as complete, directly or over another host.
BOOST_DATA_TEST_CASE(anAnswerThatStopsAnywhereIsNotCompleteForItsCaller,
                     boost::unit_test::data::make(routes) * boost::unit_test::data::make({false, true}),
                     route,
                     isRelayed)
{
    FleetFixture fleet;
    std::atomic<std::size_t> served = 0;
    for (const std::string id : {"a", "b", "c", "d"}) {
        // The body of a request says how its answer is framed and after how many bytes it stops.
        fleet.addTarget(id, [&](Connection &connection, const Request &request) {
            const std::size_t space = request.body.find(' ');
            if (space == std::string::npos) {
                connection.answer(request, 200, "whole");
                return;
            }
            ++served;
            const std::string text = answerText(static_cast<Framing>(std::stoi(request.body)), request);
            connection.send(std::string_view(text).substr(0, std::stoul(request.body.substr(space))));
            connection.close();
        });
    }
    constexpr std::size_t host = 0;
    if (isRelayed) {
        fleet.setLinks(host, StandIns::LinkMode::Reset);
        fleet.servedShare(host, "GET", "/safe/x", 1s);
    }

    struct Case
    {
        Framing framing;
        std::size_t size;
    };

    std::vector<Case> cases;
    Request sample;
    sample.head = GatewayFixture::request(route.method, route.path);
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::Close}) {
        for (std::size_t size = 0; size <= answerText(framing, sample).size(); ++size) {
            cases.push_back({framing, size});
        }
    }
    std::atomic<std::size_t> next = 0;
    std::atomic<std::size_t> complete = 0;
    std::atomic<std::size_t> wrong = 0;
    std::vector<std::thread> callers(16);
    for (std::thread &caller : callers) {
        caller = std::thread([&] {
            for (std::size_t i = next++; i < cases.size(); i = next++) {
                const auto [framing, size] = cases[i];
                const std::string text = answerText(framing, sample);
                const std::string request =
                    GatewayFixture::request(route.method, route.path, std::to_string(static_cast<int>(framing)) + ' ' + std::to_string(size));
                const auto body = completeBody(fleet.exchange(host, request));
                const std::size_t least = framing == Framing::Close ? text.find("\r\n\r\n") + 4 : text.size();
                complete += body && *body == wholeBody ? 1 : 0;
                wrong += body && (size < least || (size == text.size() && *body != wholeBody)) ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(wrong == 0U);
    BOOST_TEST(complete > 0U);
    BOOST_TEST(served > cases.size() / 2);
}

BOOST_AUTO_TEST_SUITE_END()
