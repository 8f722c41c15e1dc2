#define BOOST_TEST_MODULE stream_soak
#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "tests/platform/fleet_fixture.h"
#include "tests/platform/soak_seeds.h"
#include "tests/platform/stream_caller.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 6;
constexpr std::size_t maxKilledHosts = 4;
constexpr std::size_t callerCount = 36;
constexpr int eventCount = 6;
constexpr int maxAttempts = 4;
constexpr Duration eventGap = 15ms;
/// How long streams may be resumed after their begin.
constexpr Duration retention = 3s;

/// Until the other hosts learn that one has gone.
constexpr Duration leaseTime = 400ms;

constexpr Duration soakTime = 9s;

/// Of streams that are resumed while two targets of their version serve, the share that has to go on.
constexpr double minShare = 0.95;

/// Targets of several versions whose events say who wrote them. Some break streams off.
struct SoakFixture : FleetFixture
{
    SoakFixture()
        : FleetFixture(hostCount)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            portsUp.emplace(i, callerPort(i));
            onLoop(i, [](Gateway &gateway) { gateway.streams().setRetention(retention); });
        }
    }

    /// Adds a target of a version; every tenth new stream breaks off there after some events.
    void add(const std::string &id, const std::string &version)
    {
        addTarget(
            id, [this, version](Connection &connection, const Request &request) { stream(version, connection, request); }, version);
        const std::lock_guard lock(mutex);
        listed[version].insert(id);
    }

    void remove(const std::string &id, const std::string &version)
    {
        {
            const std::lock_guard lock(mutex);
            listed[version].erase(id);
        }
        unlistTarget(id);
    }

    std::size_t servingTargets(const std::string &version)
    {
        const std::lock_guard lock(mutex);
        return listed[version].size();
    }

    void stream(const std::string &version, Connection &connection, const Request &request)
    {
        const std::string last = request.field("Last-Event-Id");
        const bool breaksOff = last.empty() && ++newStreams % 10 == 0;
        connection.beginStream(request);
        for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= eventCount; ++id) {
            std::this_thread::sleep_for(eventGap);
            connection.sendEvent(id, version);
            if (breaksOff && id == eventCount / 2) {
                std::this_thread::sleep_for(eventGap);
                connection.reset();
                return;
            }
        }
        connection.endStream();
    }

    /// Has callers send streams for a time, each to a host that is up, and resume them at others.
    void callUntil(TimePoint end, std::size_t caller, std::uint64_t seed)
    {
        Random random(seed * callerCount + caller);
        for (int number = 0; BootClock::now() < end; ++number) {
            StreamCaller stream("s" + std::to_string(caller) + "." + std::to_string(number));
            for (int attempt = 0; attempt < maxAttempts && (stream.events().empty() || !stream.isComplete()); ++attempt) {
                const bool isResumption = !stream.events().empty();
                const std::size_t eventsBefore = stream.events().size();
                const std::size_t servingBefore = isResumption ? servingTargets(stream.events().front().data) : 0;
                stream.send(portOf(random));
                stream.readAll();
                const bool wentOn = stream.events().size() > eventsBefore || stream.isComplete();
                if (isResumption && servingBefore >= 2 && servingTargets(stream.events().front().data) >= 2 && stream.status() != 0) {
                    ++resumptions;
                    gone += wentOn && stream.status() == 200 ? 1 : 0;
                }
            }
            check(stream);
        }
    }

    void check(const StreamCaller &stream)
    {
        ++streams;
        mixed += stream.isMixed() ? 1 : 0;
        int expected = 1;
        for (const ReceivedEvent &event : stream.events()) {
            disordered += event.id == std::to_string(expected++) ? 0 : 1;
        }
        whole += stream.events().size() == eventCount ? 1 : 0;
    }

    std::uint16_t portOf(Random &random)
    {
        const std::lock_guard lock(mutex);
        std::vector<std::uint16_t> ports;
        for (const auto &[host, port] : portsUp) {
            ports.push_back(port);
        }
        return ports[randomBelow(random, ports.size())];
    }

    void killOne(Random &random)
    {
        std::size_t host = 0;
        {
            const std::lock_guard lock(mutex);
            if (portsUp.size() <= hostCount - maxKilledHosts) {
                return;
            }
            const auto killed = std::next(portsUp.begin(), static_cast<std::ptrdiff_t>(randomBelow(random, portsUp.size())));
            host = killed->first;
            portsUp.erase(killed);
        }
        kill(host);
        std::this_thread::sleep_for(leaseTime);
        unlistHost(host);
    }

    void prove()
    {
        for (const auto &[host, port] : portsUp) {
            onLoop(host, [](Gateway &gateway) { gateway.confirmTable(1, BootClock::now()); });
        }
    }

    std::mutex mutex;
    std::map<std::string, std::set<std::string>> listed; ///< Targets by version.
    std::map<std::size_t, std::uint16_t> portsUp; ///< Of the hosts that are up.
    std::atomic<int> newStreams = 0;
    std::atomic<int> streams = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> mixed = 0;
    std::atomic<int> disordered = 0;
    std::atomic<int> resumptions = 0;
    std::atomic<int> gone = 0;
};

} // namespace

// Guards against streams that hold events of two versions, or can't be resumed, while versions come and go, targets break off and hosts are killed.
BOOST_DATA_TEST_CASE_F(SoakFixture, streamsStayAtTheirVersion, boost::unit_test::data::make(soakSeeds("STREAM_SOAK")), seed)
{
    Random random(seed);
    int newest = 1;
    int next = 0;
    std::vector<std::pair<std::string, std::string>> targets; // Ids and versions.
    const auto addTargetOf = [&](int version) {
        targets.emplace_back("t" + std::to_string(next++), "v" + std::to_string(version));
        add(targets.back().first, targets.back().second);
    };
    for (int i = 0; i < 4; ++i) {
        addTargetOf(1);
    }
    std::this_thread::sleep_for(retention); // Until the hosts know that there was no other version.
    const TimePoint end = BootClock::now() + soakTime;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([this, end, i, seed] { callUntil(end, i, seed); });
    }
    while (BootClock::now() < end) {
        prove();
        switch (randomBelow(random, 6)) {
        case 0:
            ++newest;
            addTargetOf(newest);
            addTargetOf(newest);
            addTargetOf(newest);
            break;
        case 1:
            addTargetOf(1 + static_cast<int>(randomBelow(random, static_cast<std::size_t>(newest))));
            break;
        case 2:
            if (targets.size() > 5) {
                const auto gone = targets.begin() + static_cast<std::ptrdiff_t>(randomBelow(random, targets.size()));
                remove(gone->first, gone->second);
                targets.erase(gone);
            }
            break;
        case 3:
            killOne(random);
            break;
        default:
            break;
        }
        std::this_thread::sleep_for(100ms + randomUpTo(random, 400ms));
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST_MESSAGE(streams << " streams, " << whole << " whole, " << resumptions << " resumed, " << gone << " went on");
    BOOST_TEST(mixed == 0);
    BOOST_TEST(disordered == 0);
    BOOST_TEST(whole >= 0.9 * streams);
    BOOST_TEST(static_cast<double>(gone) >= minShare * resumptions);
}
