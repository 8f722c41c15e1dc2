#define BOOST_TEST_MODULE stream_versions
#include <algorithm>
#include <atomic>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"
#include "tests/platform/stream_caller.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 4;
constexpr std::size_t streamCount = 24;
constexpr int eventCount = 4;

/// Streams at a host at the same time; more would wait, as its windows at the four targets begin small.
constexpr std::size_t heldStreamCount = 16;

/// Events that a stream has before it breaks off.
constexpr std::size_t eventsBefore = 2;

/// Of the streams that are resumed while two targets of their version serve, the share that has to go on.
constexpr double minResumed = 0.95;

/// Until a host has read the first events of a stream.
constexpr Duration readTime = 100ms;

/// Until a target whose version is new to the hosts gets requests.
constexpr Duration newVersionDelay = 1'800ms;

/// Targets of two versions in a service that is replacing the older one, as in a release without an order. Their events name the version.
struct VersionFixture : FleetFixture
{
    enum class Fault : std::uint8_t
    {
        None,
        Reset, ///< Targets break off a new stream after its first events.
        Hold, ///< Targets send no more than the first events of a new stream.
    };

    VersionFixture()
        : FleetFixture(hostCount)
    {
        for (const std::string id : {"a", "b", "c", "d"}) {
            addVersion(id, "v1");
        }
        for (const std::string id : {"e", "f"}) {
            addVersion(id, "v2");
        }
        changeTarget("c", [](Target &target) { target.isLeaving = true; });
        changeTarget("d", [](Target &target) { target.isLeaving = true; });
        std::this_thread::sleep_for(newVersionDelay);
        for (std::size_t i = 0; i < hostCount; ++i) {
            onLoop(i, [](Gateway &gateway) { gateway.confirmTable(1, BootClock::now()); });
        }
        std::this_thread::sleep_for(newVersionDelay);
    }

    ScriptedTarget &addVersion(const std::string &id, const std::string &version)
    {
        return addTarget(
            id, [this, version](Connection &connection, const Request &request) { stream(version, connection, request); }, version);
    }

    void stream(const std::string &version, Connection &connection, const Request &request)
    {
        const std::string last = request.field("Last-Event-Id");
        const bool isNew = last.empty();
        connection.beginStream(request);
        for (int id = isNew ? 1 : std::stoi(last) + 1; id <= eventCount; ++id) {
            connection.sendEvent(id, version);
            if (isNew && id == static_cast<int>(eventsBefore) && fault == Fault::Reset) {
                std::this_thread::sleep_for(readTime); // A reset discards what the peer has not read yet.
                connection.reset();
                return;
            }
            if (isNew && id == static_cast<int>(eventsBefore) && fault == Fault::Hold) {
                connection.waitClosed(4s);
                return;
            }
        }
        connection.endStream();
    }

    /// Begins streams at one host that get no further than their first events.
    std::vector<std::unique_ptr<StreamCaller>> beginStreams(std::size_t host, const std::string &name)
    {
        fault = Fault::Hold;
        std::vector<std::unique_ptr<StreamCaller>> callers;
        for (std::size_t i = 0; i < heldStreamCount; ++i) {
            callers.push_back(std::make_unique<StreamCaller>(name + std::to_string(i)));
            callers.back()->send(callerPort(host));
            BOOST_TEST(callers.back()->readEvents(eventsBefore));
        }
        return callers;
    }

    std::atomic<Fault> fault = Fault::None;
};

bool hasVersion(const std::vector<std::unique_ptr<StreamCaller>> &callers, std::string_view version)
{
    return std::any_of(
        callers.begin(), callers.end(), [version](const auto &caller) { return !caller->events().empty() && caller->events().front().data == version; });
}

std::size_t countMixed(const std::vector<std::unique_ptr<StreamCaller>> &callers)
{
    return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](const auto &caller) { return caller->isMixed(); }));
}

std::size_t countWhole(const std::vector<std::unique_ptr<StreamCaller>> &callers)
{
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](const auto &caller) { return caller->isComplete() && caller->events().size() == eventCount; }));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamVersions, VersionFixture)

// Guards against a stream that goes on, within one answer, at a target of another software version than the one that began it.
BOOST_AUTO_TEST_CASE(aStreamGoesOnAtTheVersionThatBeganIt)
{
    fault = Fault::Reset;
    std::vector<std::unique_ptr<StreamCaller>> callers;
    for (std::size_t i = 0; i < streamCount; ++i) {
        callers.push_back(std::make_unique<StreamCaller>("s" + std::to_string(i)));
        callers.back()->send(callerPort(0));
        callers.back()->readAll();
    }
    BOOST_TEST(hasVersion(callers, "v1"));
    BOOST_TEST(hasVersion(callers, "v2"));
    BOOST_TEST(countMixed(callers) == 0U);
    BOOST_TEST(static_cast<double>(countWhole(callers)) >= minResumed * streamCount);
}

// Guards against a stream that a caller resumes at another host, as the first one was killed, and that goes on at another version.
BOOST_AUTO_TEST_CASE(aStreamResumedAtAnotherHostGoesOnAtTheVersionThatBeganIt)
{
    const auto callers = beginStreams(0, "t");
    BOOST_TEST(hasVersion(callers, "v1"));
    BOOST_TEST(hasVersion(callers, "v2"));
    kill(0);
    std::size_t next = 0;
    for (const auto &caller : callers) {
        caller->send(callerPort(1 + next++ % (hostCount - 1)));
        caller->readAll();
    }
    BOOST_TEST(countMixed(callers) == 0U);
    BOOST_TEST(static_cast<double>(countWhole(callers)) >= minResumed * heldStreamCount);
}

BOOST_AUTO_TEST_SUITE_END()
