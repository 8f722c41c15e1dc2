#include <algorithm>
#include <array>
#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <boost/test/unit_test.hpp>

#include "tests/servers/raw_caller.h"
#include "tests/system/platform_fleet.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds lateHeadAt = 3'500ms; ///< After the signal, of 8 s of grace.
constexpr std::chrono::milliseconds lateBodyAt = 4'500ms;
constexpr std::chrono::milliseconds slowWork = 5'000ms;

constexpr std::array routes{"safe", "once", "resume"};

/// The text of a request for slow work; `body` may be empty.
std::string slowRequest(const std::string &route, const std::string &id, const std::string &body = {})
{
    const std::string length = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return (body.empty() ? "GET /" : "POST /") + route + "/slow HTTP/1.1\r\nHost: h.example\r\nLovageloft-Request-Id: " + id + "\r\nApi-Key: k\r\n" + length
        + "\r\n" + body;
}

/// A connection that was opened before the signal, with the part of its request that comes late.
struct LateCaller
{
    std::string id;
    std::unique_ptr<RawCaller> connection;
    std::string rest;
    std::chrono::milliseconds restAt{};
    CallerAnswer answer;

    void finish(std::chrono::steady_clock::time_point signalledAt)
    {
        std::this_thread::sleep_until(signalledAt + restAt);
        try {
            connection->send(rest);
            answer = connection->readAnswer();
        } catch (const Poco::Exception &) {
            answer = {};
        }
    }
};

/// A host before a target that works for a long time on some requests.
struct ShutdownFixture
{
    ShutdownFixture()
    {
        fleet.addTarget("a", "v1", [this](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
            if (request.head.find("/slow ") != std::string::npos) {
                {
                    const std::lock_guard lock(mutex);
                    run.push_back(request.field("Lovageloft-Request-Id"));
                }
                connection.waitClosed(slowWork);
            }
            connection.answer(request, 200, "whole");
        });
        fleet.start();
    }

    /// A caller that sends `early` now, and the rest of the request's text at `restAt`.
    void add(const std::string &id, const std::string &text, std::size_t early, std::chrono::milliseconds restAt)
    {
        LateCaller caller{id, std::make_unique<RawCaller>(fleet.callerPort(0), 12s), text.substr(early), restAt, {}};
        caller.connection->send(text.substr(0, early));
        callers.push_back(std::move(caller));
    }

    void stopHost()
    {
        std::this_thread::sleep_for(300ms); // The host reads what was sent early.
        fleet.host(0).sendSignal(SIGTERM);
        const auto signalledAt = std::chrono::steady_clock::now();
        std::vector<std::jthread> threads;
        for (LateCaller &caller : callers) {
            threads.emplace_back([&caller, signalledAt] { caller.finish(signalledAt); });
        }
        threads.clear();
        BOOST_TEST(fleet.host(0).waitForExit(10s).value_or(-1) == 0);
    }

    bool hasRun(const std::string &id)
    {
        const std::lock_guard lock(mutex);
        return std::find(run.begin(), run.end(), id) != run.end();
    }

    PlatformFleet fleet{{.hosts = 1, .hostLimits = {}, .callerLimits = R"({"headerTimeoutMs":8000,"idleTimeoutMs":15000})"}};
    std::mutex mutex;
    std::vector<std::string> run; ///< Ids of the slow requests that the target began.
    std::vector<LateCaller> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LateInShutdownTest, ShutdownFixture)

// Guards against requests that come late in the grace of a SIGTERM, are passed on and cut without an answer when the process ends.
BOOST_AUTO_TEST_CASE(aRequestLateInAPlannedStopIsAnsweredOrRefusedAsNotRun)
{
    const std::string body(10'000, 'b');
    for (const std::string route : routes) {
        const std::string head = slowRequest(route, "head-" + route);
        add("head-" + route, head, head.size() - 10, lateHeadAt);
        const std::string upload = slowRequest(route, "upload-" + route, body);
        add("upload-" + route, upload, upload.size() - 10, lateBodyAt);
        add("running-" + route, slowRequest(route, "running-" + route), slowRequest(route, "running-" + route).size(), 0ms);
    }
    stopHost();
    for (const LateCaller &caller : callers) {
        BOOST_TEST_CONTEXT(caller.id << ": " << caller.answer.head)
        {
            BOOST_TEST(caller.answer.isWhole);
            BOOST_TEST(caller.answer.status != 0);
            const bool isRefused = caller.answer.status == 503;
            BOOST_TEST(isRefused != hasRun(caller.id));
            BOOST_TEST(isRefused == !caller.id.starts_with("running-"));
        }
    }
}

// Guards against a request behind a running one that is closed unread when the host stops.
BOOST_AUTO_TEST_CASE(aRequestBehindARunningOneIsAnsweredInAPlannedStop)
{
    const std::string text = slowRequest("once", "first");
    add("first", text + slowRequest("once", "second"), text.size() + slowRequest("once", "second").size(), 0ms);
    stopHost();
    BOOST_TEST(callers[0].answer.status == 504);
    const CallerAnswer second = callers[0].connection->readAnswer();
    BOOST_TEST(second.status == 503);
    BOOST_TEST(second.isWhole);
    BOOST_TEST(!hasRun("second"));
}

BOOST_AUTO_TEST_SUITE_END()
