#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/test/unit_test.hpp>

#include "tests/platform/stream_caller.h"
#include "tests/system/platform_fleet.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 8;
constexpr std::size_t streamCount = 12;
constexpr Duration resumeInterval = 150ms;

/// None of these is among the two relays, which depend on the hosts' names only.
constexpr std::size_t candidates[] = {0, 1, 4};
constexpr int eventCount = 4;
constexpr std::size_t eventsBefore = 2;

/// Targets of a version stream events that name it. Those of v2 break off a new stream after its first events, once `isBroken` is set, and never go on
/// with one.
void streamEvents(const std::string &version,
                  const std::shared_future<void> &isBroken,
                  ScriptedTarget::Connection &connection,
                  const ScriptedTarget::Request &request)
{
    if (request.head.find(" /resume/") == std::string::npos) {
        connection.answer(request, 200, version);
        return;
    }
    const std::string last = request.field("Last-Event-Id");
    if (version == "v2" && !last.empty()) {
        connection.reset();
        return;
    }
    connection.beginStream(request);
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= eventCount; ++id) {
        connection.sendEvent(id, version);
        if (version == "v2" && id == static_cast<int>(eventsBefore)) {
            isBroken.wait();
            connection.reset();
            return;
        }
    }
    connection.endStream();
}

void add(PlatformFleet &fleet, const std::string &id, const std::string &version, const std::shared_future<void> &isBroken)
{
    fleet.addTarget(id, version, [version, isBroken](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
        streamEvents(version, isBroken, connection, request);
    });
}

/// Fills the buffer of a host's socket for datagrams, so that the kernel drops what others send until the host reads again.
void fillSocket(std::uint16_t port)
{
    constexpr int datagrams = 4'000;
    Poco::Net::DatagramSocket socket;
    socket.connect(Poco::Net::SocketAddress("127.0.0.1", port));
    const std::string text(1'000, 'x');
    for (int i = 0; i < datagrams; ++i) {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostOutOfStep)

// Guards against a host that joins streams of two versions, as the other version came, served and went while the host stood still and
// its datagrams were lost.
BOOST_AUTO_TEST_CASE(aHostThatStoodStillJoinsNoStreamOfAVersionThatHasGone)
{
    PlatformFleet fleet({hostCount, {}, "{}"});
    std::promise<void> streamsBreak;
    const std::shared_future<void> isBroken = streamsBreak.get_future().share();
    add(fleet, "a", "v1", isBroken);
    add(fleet, "b", "v1", isBroken);
    fleet.start();
    std::this_thread::sleep_for(11s); // Streams can be resumed for ten seconds: the hosts have seen all versions since then.
    const bool isFirstLeader = fleet.leader() == candidates[0]; // The leader records that there are two versions.
    const std::size_t frozen = candidates[isFirstLeader ? 1 : 0];
    const std::size_t other = candidates[2];
    fleet.host(frozen).freeze();
    fillSocket(fleet.peerPort(frozen));
    for (const char *id : {"c", "d", "e", "f"}) {
        add(fleet, id, "v2", isBroken);
    }
    std::vector<std::unique_ptr<StreamCaller>> callers;
    int begun = 0;
    waitFor(8s, [&] {
        auto caller = std::make_unique<StreamCaller>("s" + std::to_string(++begun));
        caller->send(fleet.callerPort(other));
        caller->readEvents(eventsBefore);
        if (!caller->events().empty() && caller->events().front().data == "v2") {
            callers.push_back(std::move(caller));
        }
        return callers.size() >= streamCount;
    });
    BOOST_REQUIRE_EQUAL(callers.size(), streamCount);
    streamsBreak.set_value();
    for (const auto &caller : callers) {
        caller->readAll();
        BOOST_TEST(caller->events().size() == eventsBefore);
    }
    for (const char *id : {"c", "d", "e", "f"}) {
        fleet.unlistTarget(id);
    }
    std::this_thread::sleep_for(500ms);
    fleet.host(frozen).resume();
    std::size_t mixed = 0;
    for (const auto &caller : callers) {
        std::this_thread::sleep_for(resumeInterval); // The host's list is current again at some of these moments.
        caller->send(fleet.callerPort(frozen));
        caller->readAll();
        mixed += caller->isMixed() ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(fleet.host(frozen).output());
    BOOST_TEST(mixed == 0U);
    BOOST_TEST(fleet.ask(frozen, "safe") == 200);
}

BOOST_AUTO_TEST_SUITE_END()
