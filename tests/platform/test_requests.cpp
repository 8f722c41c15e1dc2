#include <algorithm>
#include <array>

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

using Connection = ScriptedTarget::Connection;
using Request = ScriptedTarget::Request;

const ScriptedTarget::Script wellTarget = [](Connection &connection, const Request &request) { connection.answer(request, 200, "whole"); };

int statusOf(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(9)) : 0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestsTest, GatewayFixture)

BOOST_AUTO_TEST_CASE(aPlainRequestComesBackWholeAndItsConnectionsAreKept)
{
    const ScriptedTarget &target = addTarget("a", wellTarget);
    for (int i = 0; i < 5; ++i) {
        const std::string answer = exchange(request("POST", "/once/x", "body"));
        BOOST_TEST(statusOf(answer) == 200);
        BOOST_TEST(contains(answer, "Lovageloft-Response-Stamp: s\r\n"));
        BOOST_TEST(answer.ends_with("\r\n\r\nwhole"));
    }
    BOOST_TEST(target.connections() == 1);
    BOOST_TEST(target.received()[0].field("Lovageloft-Tenant") == "t");
    BOOST_TEST(target.received()[0].field("Lovageloft-Expect-Instance") == "a");
    BOOST_TEST(target.received()[0].body == "body");
}

BOOST_AUTO_TEST_CASE(aStreamIsPassedOnEventByEvent)
{
    addTarget("a", [](Connection &connection, const Request &request) {
        connection.beginStream(request);
        for (int id = 1; id <= 3; ++id) {
            connection.sendEvent(id);
        }
        connection.endStream();
    });
    const std::string answer = exchange(request("POST", "/stream/x", "body"));
    BOOST_TEST(statusOf(answer) == 200);
    BOOST_TEST(contains(answer, "piece1"));
    BOOST_TEST(contains(answer, "piece3"));
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(aCallThatMayHaveRunIsNotSentAgain)
{
    // An application takes a correction and is killed before it answers. Sent to another copy the correction could be carried out
    // twice, and the erratum be printed twice.
    const auto breaksOff = [](Connection &connection, const Request &) { connection.reset(); };
    const ScriptedTarget &first = addTarget("a", breaksOff);
    const ScriptedTarget &second = addTarget("b", breaksOff);
    const std::string answer = exchange(request("POST", "/once/x", "body"));
    BOOST_TEST(statusOf(answer) == 502);
    BOOST_TEST(contains(answer, "may_have_run"));
    BOOST_TEST(first.requests() + second.requests() == 1);
}

// Guards against an answer too long to be buffered that breaks off and is followed by that of another target, as if both were one.
BOOST_AUTO_TEST_CASE(aLongAnswerThatBreaksOffIsNotContinuedByAnother)
{
    constexpr std::size_t bodyBytes = 400'000;
    std::atomic<int> answers = 0;
    const auto target = [&answers](Connection &connection, const Request &request) {
        const bool breaksOff = answers++ == 0;
        connection.send("HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id")
                        + "\r\nLovageloft-Response-Stamp: s\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
        connection.send(std::string(breaksOff ? bodyBytes - 1'000 : bodyBytes, 'x'));
        if (breaksOff) {
            std::this_thread::sleep_for(200ms); // Until the first part has been read: a reset discards what has not.
            connection.reset();
        }
    };
    addTarget("a", target);
    addTarget("b", target);
    const std::string answer = exchange(request("GET", "/safe/x"));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(answers == 1);
}

// Guards against a call that reached no target and is answered as one that may have run: its caller must not send it again.
BOOST_AUTO_TEST_CASE(aCallThatNoTargetReceivedIsAnsweredAsNotRun)
{
    for (const std::string id : {"a", "b", "c", "d", "e", "f"}) {
        addGone(id);
    }
    const std::string answer = exchange(request("POST", "/once/x", "body"));
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(contains(answer, "not_run"));
}

BOOST_AUTO_TEST_CASE(aReadThatBrokeOffIsTriedElsewhere)
{
    // Half of an archived page arrives and its server dies. The caller must not see half a page, nor an error while another copy is well.
    addTarget("a", [](Connection &connection, const Request &request) {
        connection.send("HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id") + "\r\nContent-Length: 5\r\n\r\nwh");
        connection.reset();
    });
    addTarget("b", wellTarget);
    for (int i = 0; i < 8; ++i) {
        const std::string answer = exchange(request("GET", "/safe/x"));
        BOOST_TEST(statusOf(answer) == 200);
        BOOST_TEST(answer.ends_with("whole"));
    }
}

BOOST_AUTO_TEST_CASE(aTargetsOwnFailureIsPassedOnIfNoOtherDoesBetter)
{
    const auto fails = [](Connection &connection, const Request &request) { connection.answer(request, 500, "sorry"); };
    const ScriptedTarget &first = addTarget("a", fails);
    const ScriptedTarget &second = addTarget("b", fails);
    const std::string answer = exchange(request("GET", "/safe/x"));
    BOOST_TEST(statusOf(answer) == 500);
    BOOST_TEST(answer.ends_with("sorry"));
    BOOST_TEST(contains(answer, "Lovageloft-Response-Stamp"));
    BOOST_TEST(first.requests() + second.requests() == 2);
}

BOOST_AUTO_TEST_CASE(aRequestThatWasDeclinedGoesToAnotherTarget)
{
    // An engine loads new weights and declines all requests. They have not run, so also a call that must run once may go elsewhere.
    addTarget("a", [](Connection &connection, const Request &request) { connection.answer(request, 503, "", "Lovageloft-Not-Executed: 1\r\n"); });
    const ScriptedTarget &well = addTarget("b", wellTarget);
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(statusOf(exchange(request("POST", "/once/x", "body"))) == 200);
    }
    BOOST_TEST(well.requests() == 4);
}

BOOST_AUTO_TEST_CASE(aTargetThatNobodyServesCostsNoRequest)
{
    // A target crashed and its entry is still listed. Nothing was sent, so every request may go elsewhere.
    addTarget("a", wellTarget);
    addGone("b");
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(statusOf(exchange(request("POST", "/once/x", "body"))) == 200);
    }
}

BOOST_AUTO_TEST_CASE(anAnswerToAnotherRequestIsNeverPassedOn)
{
    // A target answers a request twice, the second time late: on the kept connection it comes where the next caller's answer is due.
    // That caller would read what belongs to somebody else.
    addTarget("a", [](Connection &connection, const Request &request) {
        Request other;
        other.head = "X\r\nLovageloft-Request-Id: stale\r\n";
        connection.answer(other, 200, "stale");
        connection.answer(request, 200, "fresh");
    });
    for (int i = 0; i < 3; ++i) {
        const std::string answer = exchange(request("POST", "/once/x", "body"));
        BOOST_TEST(statusOf(answer) == 200);
        BOOST_TEST(answer.ends_with("fresh"));
    }
}

BOOST_AUTO_TEST_CASE(bytesAfterAnAnswerEndTheConnection)
{
    const ScriptedTarget &target = addTarget("a", [](Connection &connection, const Request &request) {
        const std::string head = "HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id") + "\r\nContent-Length: 5\r\n\r\n";
        connection.send(head + "whole" + head + "again");
    });
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(exchange(request("POST", "/once/x", "body")).ends_with("whole"));
    }
    BOOST_TEST(target.connections() == 3);
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoAnswerBecomeAnError)
{
    addTarget("a", [](Connection &connection, const Request &) { connection.send("this is no HTTP\r\n\r\n"); });
    BOOST_TEST(statusOf(exchange(request("POST", "/once/x", "body"))) == 502);
}

BOOST_AUTO_TEST_CASE(aStreamGoesOnAtAnotherTargetWithinTheSameAnswer)
{
    // An engine dies in the middle of an event. The caller keeps reading one answer, with each piece once and in order.
    const auto engine = [](Connection &connection, const Request &request) {
        const std::string last = request.field("Last-Event-Id");
        connection.beginStream(request);
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        if (first == 1) {
            connection.sendEvent(1);
            connection.sendEvent(2);
            connection.send("10\r\nid: 3\ndata: half");
            connection.reset();
            return;
        }
        for (int id = first; id <= 4; ++id) {
            connection.sendEvent(id);
        }
        connection.endStream();
    };
    addTarget("a", engine);
    addTarget("b", engine);
    const std::string answer = exchange(request("POST", "/resume/x", "body"));
    BOOST_TEST(statusOf(answer) == 200);
    std::size_t at = 0;
    for (int id = 1; id <= 4; ++id) {
        const std::string piece = "data: piece" + std::to_string(id) + "\n\n";
        const std::size_t found = answer.find(piece, at);
        BOOST_TEST((found != std::string::npos));
        at = found == std::string::npos ? at : found + piece.size();
    }
    BOOST_TEST(!contains(answer, "half"));
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(aStreamThatMayNotGoOnElsewhereLooksBroken)
{
    // The same on a route whose streams run at most once: an answer that ends early must not look complete.
    const auto engine = [](Connection &connection, const Request &request) {
        connection.beginStream(request);
        connection.sendEvent(1);
        connection.reset();
    };
    const ScriptedTarget &first = addTarget("a", engine);
    const ScriptedTarget &second = addTarget("b", engine);
    const std::string answer = exchange(request("POST", "/stream/x", "body"));
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(first.requests() + second.requests() == 1);
}

BOOST_AUTO_TEST_CASE(aMuteTargetIsLeftForAnotherWhereWorkMayBeRepeated)
{
    // A target reads requests and never answers. Callers would wait for their whole patience.
    addTarget("a", [](Connection &connection, const Request &) { connection.waitClosed(4s); });
    addTarget("b", wellTarget);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
    }
}

BOOST_AUTO_TEST_CASE(aSlowTargetIsWaitedForWhereNoOtherCanTakeTheRequest)
{
    // All targets are slow in a burst, and the retry budget is spent, or there is only one target. Work that is broken off there is
    // work lost: its caller is refused half a second before an answer that is late, but an answer.
    const ScriptedTarget::Script slowTarget = [](Connection &connection, const Request &request) {
        if (!connection.waitClosed(900ms)) {
            connection.answer(request, 200, "late");
        }
    };
    const ScriptedTarget &first = addTarget("a", slowTarget);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
    const ScriptedTarget &second = addTarget("b", slowTarget);
    GatewayLimits limits;
    limits.retries = {0, 0};
    onLoop([&limits](Gateway &gateway) { gateway.setLimits(limits); });
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
    BOOST_TEST(first.requests() + second.requests() == 2);
}

BOOST_AUTO_TEST_CASE(aCallerThatWaitsTooLongGetsItsFinalAnswerAtItsDeadline)
{
    addTarget("a", [](Connection &connection, const Request &) { connection.waitClosed(4s); });
    const TimePoint before = BootClock::now();
    const std::string answer = exchange(request("POST", "/once/x", "body"));
    const Duration waited = BootClock::now() - before;
    BOOST_TEST(statusOf(answer) == 504);
    BOOST_TEST((waited > 1400ms && waited < 2s));
}

BOOST_AUTO_TEST_CASE(workOfACallerWhoLeftIsCancelled)
{
    // Callers give up during a burst. Engines that go on working for them answer all others later.
    std::atomic<int> closed = 0;
    const ScriptedTarget &target = addTarget("a", [&closed](Connection &connection, const Request &) { closed += connection.waitClosed(3s) ? 1 : 0; });
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
        const std::string text = request("POST", "/stream/x", "body");
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        const TimePoint arrived = BootClock::now() + 2s;
        while (target.requests() == 0 && BootClock::now() < arrived) {
            std::this_thread::yield();
        }
    }
    const TimePoint limit = BootClock::now() + 3s;
    while (closed == 0 && BootClock::now() < limit) {
        std::this_thread::yield();
    }
    BOOST_TEST(closed == 1);
}

BOOST_AUTO_TEST_CASE(keysRoutesAndLimitsAreChecked)
{
    addTarget("a", wellTarget);
    BOOST_TEST(statusOf(exchange(request("GET", "/none/x"))) == 404);
    std::string unknown = request("GET", "/safe/x");
    unknown.replace(unknown.find("Api-Key: k"), 10, "Api-Key: z");
    BOOST_TEST(statusOf(exchange(unknown)) == 401);
    std::string open = request("GET", "/public/x");
    open.replace(open.find("Api-Key: k"), 10, "Api-Key: z");
    BOOST_TEST(statusOf(exchange(open)) == 200);
    BOOST_TEST(statusOf(exchange(request("POST", "/safe/x", std::string(1'001, 'x')))) == 413);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x", {}, "X: " + std::string(1'000, 'x') + "\r\n"))) == 431);
    BOOST_TEST(statusOf(exchange("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx")) == 400);
    BOOST_TEST(statusOf(exchange("GET /safe/x HTTP/1.1\r\nHost: h.exa")) == 408);
}

BOOST_AUTO_TEST_CASE(aWithdrawnKeyStopsWorkingAndAStaleProofServesNoKey)
{
    // The store can't be reached. Whether a key has been withdrawn is not known, and after its time a host that went on would serve a
    // caller whom the operators have shut out. What needs no key goes on.
    addTarget("a", wellTarget);
    configure(table(2), 10s);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200); // The first configuration's proof is younger and counts.
    RoutingTable withdrawn = table(3);
    withdrawn.teamOfKey.clear();
    configure(withdrawn);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 401);
    configure(table(2));
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 401);
}

// Guards against an operator who withdraws the last team and thereby lets everybody in.
BOOST_AUTO_TEST_CASE(withoutAnyTeamNobodyIsServedUnlessNoKeysAreRequired)
{
    addTarget("a", wellTarget);
    RoutingTable closed = table(2);
    closed.teams.clear();
    closed.teamOfKey.clear();
    configure(closed);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 401);
    BOOST_TEST(statusOf(exchange(request("GET", "/public/x"))) == 200);
    closed.version = closed.revision = 3;
    closed.requiresKeys = false;
    configure(closed);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
}

// Guards against keyless routes that are served as a replaced configuration says, for as long as the newer one can't be read.
BOOST_AUTO_TEST_CASE(aConfigurationThatIsKnownToBeReplacedServesNobodyBeyondItsTime)
{
    GatewayFixture stale(false);
    stale.addTarget("a", wellTarget);
    stale.configure(table(2), 2'500ms);
    BOOST_TEST(statusOf(stale.exchange(request("GET", "/public/x"))) == 200); // Nobody knows of a newer one: the store may be away.
    stale.onLoop([](Gateway &gateway) { gateway.noteNewerTable(3); });
    const std::string refused = stale.exchange(request("GET", "/public/x"));
    BOOST_TEST(statusOf(refused) == 503);
    BOOST_TEST(contains(refused, "not_run"));
    BOOST_TEST(statusOf(stale.exchange(request("GET", "/safe/x"))) == 503);
    stale.onLoop([](Gateway &gateway) { BOOST_TEST(!gateway.isReady(BootClock::now())); });
    stale.configure(table(3));
    BOOST_TEST(statusOf(stale.exchange(request("GET", "/public/x"))) == 200);
    stale.onLoop([](Gateway &gateway) { gateway.noteNewerTable(4); });
    BOOST_TEST(statusOf(stale.exchange(request("GET", "/public/x"))) == 200); // Its proof is young: the newer one isn't due yet.
}

BOOST_AUTO_TEST_CASE(aHostThatHasNoTargetsRefusesTruly)
{
    const std::string answer = exchange(request("POST", "/once/x", "body"));
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(contains(answer, "not_run"));
    BOOST_TEST(contains(answer, "Retry-After: "));
}

BOOST_AUTO_TEST_CASE(aHostThatHasJustStartedLetsRequestsWaitForItsConfiguration)
{
    // All hosts are restarted at once and all clients connect again within a moment, before the first configuration is read. Refused,
    // each of them would come back later, though the answer is milliseconds away.
    GatewayFixture started(false);
    std::string answer;
    std::thread caller([&] { answer = started.exchange(request("POST", "/once/x", "body")); });
    started.addTarget("a", wellTarget);
    started.configure(table());
    caller.join();
    BOOST_TEST(statusOf(answer) == 200);
}

BOOST_AUTO_TEST_CASE(aHostWithoutConfigurationRefusesSoon)
{
    GatewayFixture started(false);
    const TimePoint before = BootClock::now();
    const std::string answer = started.exchange(request("POST", "/once/x", "body"));
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(contains(answer, "not_run"));
    BOOST_TEST((BootClock::now() - before < 500ms));
}

BOOST_AUTO_TEST_CASE(requestsSentAheadAreAnsweredInTheirOrder)
{
    addTarget("a", [](Connection &connection, const Request &request) { connection.answer(request, 200, request.body); });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
    const std::string text = request("POST", "/safe/x", "one") + request("POST", "/safe/x", "two") + request("POST", "/safe/x", "three");
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    socket.setReceiveTimeout(Poco::Timespan(3, 0));
    std::string answers;
    std::array<char, 4'096> buffer{};
    while (!contains(answers, "three")) {
        const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        BOOST_REQUIRE(got > 0);
        answers.append(buffer.data(), static_cast<std::size_t>(got));
    }
    BOOST_TEST((answers.find("one") < answers.find("two") && answers.find("two") < answers.find("three")));
}

BOOST_AUTO_TEST_CASE(aShutdownCompletesWhatRunsAndAsksCallersToClose)
{
    // An operator restarts a host while callers hold connections open. Each request that was read gets its whole answer.
    addTarget("a", [](Connection &connection, const Request &request) {
        connection.waitClosed(400ms);
        connection.answer(request, 200, "whole");
    });
    std::string answer;
    std::thread caller([&] { answer = exchange(request("POST", "/once/x", "body")); });
    settle();
    drain();
    const std::string late = exchange(request("POST", "/once/x", "body"));
    caller.join();
    BOOST_TEST(answer.ends_with("whole"));
    BOOST_TEST(late.ends_with("whole"));
    BOOST_TEST(contains(late, "Connection: close"));
    BOOST_TEST(hasStopped());
}

BOOST_AUTO_TEST_CASE(aConnectionWhoseAnswerOutlastsAShutdownsNoticeTakesNoOtherRequest)
{
    // A stream that began before the shutdown ends after its notice, and its caller sends the next request on the same connection at once,
    // as that answer could not ask for a new one. Taken, the request runs for seconds and is cut when the platform ends the process; not
    // taken, the caller sends it to another host.
    addTarget("a", [](Connection &connection, const Request &request) {
        connection.beginStream(request);
        connection.sendEvent(1);
        connection.waitClosed(700ms);
        connection.sendEvent(2);
        connection.endStream();
    });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port()));
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    const std::string first = request("POST", "/resume/x", "body");
    socket.sendBytes(first.data(), static_cast<int>(first.size()));
    std::string answer;
    std::array<char, 16'384> buffer{};
    const auto read = [&] {
        const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        answer.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
        return got > 0;
    };
    while (!contains(answer, "piece1") && read()) {
    }
    drain();
    while (!answer.ends_with("0\r\n\r\n") && read()) {
    }
    BOOST_TEST(contains(answer, "piece2"));
    const std::size_t answered = answer.size();
    try {
        const std::string second = request("POST", "/resume/x", "body");
        socket.sendBytes(second.data(), static_cast<int>(second.size()));
        while (read()) {
        }
    } catch (const Poco::Exception &) { // A reset says as well that the request was not taken.
    }
    BOOST_TEST(answer.size() == answered);
    BOOST_TEST(hasStopped());
}

// Guards against requests that are cut without an answer at the end of a shutdown: running, queued, or behind another on their connection.
BOOST_AUTO_TEST_CASE(aShutdownAnswersWhatItCannotComplete)
{
    constexpr Duration work = 3s;
    addTarget("a", [work](Connection &connection, const Request &request) {
        connection.waitClosed(std::chrono::duration_cast<std::chrono::milliseconds>(work));
        connection.answer(request, 200, "whole");
    });
    onLoop([](Gateway &gateway) {
        GatewayLimits limits;
        limits.drainNotice = 100ms;
        limits.drainLimit = 1'200ms;
        gateway.setLimits(limits);
    });
    std::vector<std::string> answers(3);
    std::vector<std::thread> callers;
    const std::array requests{request("GET", "/safe/x"), request("POST", "/once/x", "body"), request("GET", "/safe/1") + request("GET", "/safe/2")};
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&, i] { answers[i] = exchange(requests[i]); });
    }
    std::this_thread::sleep_for(100ms);
    drain();
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(statusOf(answers[0]) == 504);
    BOOST_TEST(statusOf(answers[1]) == 504);
    BOOST_TEST(statusOf(answers[2]) == 504);
    BOOST_TEST(hasStopped());
}

// Guards against requests that come late in a shutdown, are passed on, and are cut in the middle of their work.
BOOST_AUTO_TEST_CASE(aRequestThatMayOutlastAShutdownIsRefusedAsNotRun)
{
    addTarget("a", wellTarget);
    Poco::Net::StreamSocket late(Poco::Net::SocketAddress("127.0.0.1", port()));
    late.setReceiveTimeout(Poco::Timespan(3, 0));
    const std::string whole = request("POST", "/once/x", "body");
    late.sendBytes(whole.data(), 20);
    onLoop([](Gateway &gateway) {
        GatewayLimits limits;
        limits.drainNotice = 100ms;
        limits.drainLimit = 2s;
        gateway.setLimits(limits);
    });
    drain();
    std::this_thread::sleep_for(200ms);
    late.sendBytes(whole.data() + 20, static_cast<int>(whole.size()) - 20);
    std::array<char, 4'096> buffer{};
    const int got = late.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    const std::string answer(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
    BOOST_TEST(statusOf(answer) == 503);
    BOOST_TEST(contains(answer, "2005"));
    BOOST_TEST(contains(answer, "not_run"));
    BOOST_TEST(contains(answer, "Connection: close"));
    BOOST_TEST(hasStopped());
}

BOOST_AUTO_TEST_CASE(aShutdownBeginsAlsoWhenATickIsDueAtThatMoment)
{
    // The signal to stop comes in the moment in which the periodic tick is due. The tick then took the shutdown's timer for its own, the
    // host went on taking requests for all of its grace, and the kill at its end cut them.
    drainWhileHeldUp();
    BOOST_TEST(hasStopped());
}

BOOST_AUTO_TEST_CASE(aTargetThatDeclinedIsUsedAgainThoughTheHostStoodStill)
{
    // The only target of a service declines a request, as it is full for a moment, and is left alone for 400 ms. The host stands still while
    // that time ends. It went on refusing callers, with a target that idled, until something else was heard of the targets.
    std::atomic<bool> isFull = true;
    addTarget("a", [&isFull](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
        connection.answer(request, isFull ? 503 : 200, "whole", isFull ? "Lovageloft-Not-Executed: 1\r\n" : "");
    });
    exchange(request("GET", "/safe/x"));
    isFull = false;
    holdUp(900ms);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
}

BOOST_AUTO_TEST_CASE(aRequestWaitsForTokensAndACallerThatLeavesReturnsThem)
{
    // Guards against refusals of requests whose tokens come soon, and against tokens that are lost with a caller. The empty pool refills by
    // 70 tokens/s, so a request of 50 waits 714 ms; a second one would wait longer than half of its 2 s.
    addTarget("a", wellTarget);
    RoutingTable limited = table(2);
    limited.teams = {{.name = "t", .rate = 100, .burst = 100, .plainTokens = 50}};
    const TimePoint limitedAt = BootClock::now();
    configure(limited);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 429);
    onLoop([](Gateway &gateway) {
        GatewayLimits limits;
        limits.requestsWaitForTokens = true;
        gateway.setLimits(limits);
    });
    {
        Poco::Net::StreamSocket leaves(Poco::Net::SocketAddress("127.0.0.1", port()));
        const std::string bytes = request("GET", "/safe/x");
        leaves.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::this_thread::sleep_for(100ms);
    }
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
    BOOST_TEST((BootClock::now() - limitedAt > 700ms));
    BOOST_TEST(statusOf(exchange(request("GET", "/safe/x"))) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
