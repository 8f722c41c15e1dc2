#define BOOST_TEST_MODULE stated_limits
#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <numeric>

#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 6;
constexpr std::size_t targetCount = 6;
constexpr std::size_t callersPerHost = 3;

/// Requests a second that a limited target takes from all hosts.
constexpr double statedRate = 2.1;

/// In each window, from this time after the first statement, a target gets no more than its rate allows, and this many requests.
constexpr Duration window = 4s;
constexpr Duration settleTime = 1s;
constexpr double allowedExcess = 2;

/// Of the stated rate, while there is demand.
constexpr double minUse = 0.9;

/// Targets that state a limit in all their answers from a set time on and record when requests arrive.
struct LimitFixture : FleetFixture
{
    LimitFixture()
        : FleetFixture(hostCount)
    {
        arrivals.resize(targetCount);
        for (std::size_t i = 0; i < targetCount; ++i) {
            addTarget(std::string(1, static_cast<char>('a' + i)), [this, i](Connection &connection, const Request &request) {
                const TimePoint now = BootClock::now();
                bool isLimited = false;
                {
                    const std::lock_guard lock(mutex);
                    arrivals[i].push_back(now);
                    isLimited = i < limitedTargets;
                }
                connection.answer(request, 200, "whole", isLimited ? "Lovageloft-Server-Limit: 2.1\r\n" : "");
            });
        }
    }

    /// Has callers of all hosts send requests for a time and returns the share that is served.
    double sendFor(Duration time) const
    {
        std::vector<std::size_t> hosts(hostCount);
        std::iota(hosts.begin(), hosts.end(), 0);
        return servedShare(
            hosts, callersPerHost, [](std::size_t) { return "/safe/x"; }, time);
    }

    void limit(std::size_t count)
    {
        const std::lock_guard lock(mutex);
        limitedTargets = count;
        limitedSince = BootClock::now();
    }

    /// The most requests that a target got in any window that begins at `from` or later.
    std::size_t mostInWindow(std::size_t target, TimePoint from) const
    {
        std::vector<TimePoint> times = arrivals[target];
        std::erase_if(times, [from](TimePoint time) { return time < from; });
        std::size_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto end = std::lower_bound(first, times.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    std::size_t countSince(std::size_t target, TimePoint from) const
    {
        return static_cast<std::size_t>(std::count_if(arrivals[target].begin(), arrivals[target].end(), [from](TimePoint time) { return time >= from; }));
    }

    std::mutex mutex;
    std::vector<std::vector<TimePoint>> arrivals;
    std::size_t limitedTargets = 0;
    TimePoint limitedSince;
};

/// A refusal within this time is prompt, and this part of them has to be.
constexpr Duration promptTime = 200ms;
constexpr double promptShare = 0.9;

/// How long callers send to brittle targets.
constexpr Duration sendTime = 6s;

/// Targets that run few requests at a time, reject the others for want of room, and state how many they can reject in a second.
struct BrittleFixture : FleetFixture
{
    static constexpr int room = 2;
    static constexpr std::size_t rejectionLimit = 10;
    static constexpr std::size_t brittleTargets = 3;

    BrittleFixture()
        : FleetFixture(hostCount)
    {
        for (std::size_t i = 0; i < brittleTargets; ++i) {
            addTarget(std::string(1, static_cast<char>('a' + i)),
                      [this, i](Connection &connection, const Request &request) { answer(i, connection, request); });
        }
    }

    void answer(std::size_t target, Connection &connection, const Request &request)
    {
        constexpr std::string_view stated = "Server-Brittle: 10\r\n";
        constexpr Duration serviceTime = 60ms;
        if (++running[target] > room) {
            --running[target];
            {
                const std::lock_guard lock(mutex);
                rejections[target].push_back(BootClock::now());
            }
            connection.answer(request, 503, "full", std::string(stated) + "Lovageloft-Not-Executed: full\r\n");
            return;
        }
        std::this_thread::sleep_for(serviceTime);
        --running[target];
        connection.answer(request, 200, "whole", stated);
    }

    /// The most rejections of a target in any second from `from` on.
    std::size_t mostRejections(std::size_t target, TimePoint from) const
    {
        std::size_t most = 0;
        const std::vector<TimePoint> &times = rejections[target];
        for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + 1s) - first));
        }
        return most;
    }

    std::array<std::atomic<int>, brittleTargets> running{};
    std::mutex mutex;
    std::array<std::vector<TimePoint>, brittleTargets> rejections;
};

constexpr double allowedInWindow()
{
    return statedRate * toSeconds(window) + allowedExcess;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatedLimits, LimitFixture)

// Guards against hosts that together send a target more requests than it has stated it takes, while others of its service are free.
BOOST_AUTO_TEST_CASE(aTargetGetsNoMoreThanItStates)
{
    sendFor(500ms);
    limit(2);
    const double served = sendFor(settleTime + window + 2s);
    for (std::size_t i = 0; i < 2; ++i) {
        BOOST_TEST(mostInWindow(i, limitedSince + settleTime) <= allowedInWindow());
        BOOST_TEST(countSince(i, limitedSince + settleTime) > 0U);
    }
    BOOST_TEST(served > 0.99);
}

// Guards against hosts that exceed the limits of all targets of a service at once, or use little of them, or keep callers waiting in vain.
BOOST_AUTO_TEST_CASE(allTargetsOfAServiceGetWhatTheyState)
{
    sendFor(500ms);
    limit(targetCount);
    const Duration counted = window + 4s;
    sendFor(settleTime + counted);
    const TimePoint from = limitedSince + settleTime;
    double used = 0;
    for (std::size_t i = 0; i < targetCount; ++i) {
        BOOST_TEST(mostInWindow(i, from) <= allowedInWindow());
        used += static_cast<double>(countSince(i, from));
    }
    BOOST_TEST(used >= minUse * statedRate * toSeconds(counted) * targetCount);
}

// Guards against callers that are kept waiting for most of their time and then refused, as far more is asked for than the targets state.
BOOST_AUTO_TEST_CASE(whatCanNotBeServedInTimeIsRefusedAtOnce)
{
    constexpr std::size_t callerCount = 60;
    limit(targetCount);
    sendFor(settleTime);
    std::atomic<int> refused = 0;
    std::atomic<int> prompt = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([this, i, &refused, &prompt, &served] {
            const TimePoint end = BootClock::now() + window;
            while (BootClock::now() < end) {
                const TimePoint sentAt = BootClock::now();
                const bool isServed = exchange(i % hostCount, GatewayFixture::request("GET", "/safe/x")).starts_with("HTTP/1.1 200 ");
                (isServed ? served : refused) += 1;
                prompt += !isServed && BootClock::now() - sentAt <= promptTime ? 1 : 0;
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(prompt >= promptShare * refused);
    BOOST_TEST(served >= minUse * statedRate * toSeconds(window) * targetCount);
}

// Guards against targets that fall over, as the hosts go on sending to them while they reject for want of room.
BOOST_FIXTURE_TEST_CASE(brittleTargetsAreNotMadeToRejectMoreThanTheyState, BrittleFixture)
{
    constexpr std::size_t callerCount = 36;
    const TimePoint from = BootClock::now() + settleTime;
    std::vector<double> served(callerCount);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([this, i, &served] { served[i] = servedShare(i % hostCount, "GET", "/safe/x", sendTime); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (std::size_t target = 0; target < brittleTargets; ++target) {
        BOOST_TEST(mostRejections(target, from) <= rejectionLimit);
    }
}

BOOST_AUTO_TEST_SUITE_END()
