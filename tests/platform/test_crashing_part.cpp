#define BOOST_TEST_MODULE crashing_part
#include <array>
#include <atomic>
#include <mutex>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 6;
constexpr std::size_t targetCount = 12;
constexpr std::size_t soundCallers = 12;
constexpr std::size_t crashingCallers = 3;

/// Hash of the part of a prompt that crashes targets. All requests share the first part, and sound ones more.
constexpr std::string_view crashingPart = "bad0bad0";
constexpr std::string_view firstPart = "aa00aa00";

constexpr Duration downTime = 1s;
constexpr Duration prefillTime = 50ms;
constexpr Duration writeTime = 40ms;

/// Sound requests alone, then also requests that crash their target.
constexpr Duration soundTime = 1500ms;
constexpr Duration crashTime = 6s;

/// From the fifth crash on no request with the part reaches a target after this time, and sound ones are served again after twice that time.
constexpr std::size_t tellingCrashes = 5;
constexpr Duration spreadTime = 200ms;
constexpr double minServedShare = 0.95;

std::string prompt(std::string_view shared, int number)
{
    return "Lovageloft-Token-Count: 700,10\r\nLovageloft-Prefix-Hash: " + std::string(firstPart) + ":300," + std::string(shared) + ":300,"
        + std::to_string(number + 0x1000) + ":100\r\n";
}

/// Targets that end as they begin to write an answer on a certain part, and come back as another incarnation.
class CrashingPartFixture : public FleetFixture
{
public:
    CrashingPartFixture()
        : FleetFixture(hostCount)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            addTarget(nameOf(i), [this, i](Connection &connection, const Request &request) { serve(i, connection, request); });
        }
    }

    void play()
    {
        const TimePoint start = BootClock::now();
        const TimePoint end = start + soundTime + crashTime;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < soundCallers; ++i) {
            callers.emplace_back([this, i, end] { callSound(i, end); });
        }
        for (std::size_t i = 0; i < crashingCallers; ++i) {
            callers.emplace_back([this, i, start, end] { callCrashing(i, start + soundTime, end); });
        }
        while (BootClock::now() < end) {
            std::this_thread::sleep_for(10ms);
            restartCrashed();
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        startedCrashing_ = start + soundTime;
    }

    std::size_t crashes() const
    {
        return crashedAt_.size();
    }

    /// Requests with the part that reached targets when it was long known that they crash them.
    std::size_t lateArrivals() const
    {
        if (crashedAt_.size() < tellingCrashes) {
            return 0;
        }
        const TimePoint from = crashedAt_[tellingCrashes - 1] + spreadTime;
        return static_cast<std::size_t>(std::count_if(arrivedAt_.begin(), arrivedAt_.end(), [from](TimePoint at) { return at > from; }));
    }

    /// Part of the sound requests that are served, before the first crash and from when they should be again.
    std::pair<double, double> servedShares() const
    {
        const std::size_t telling = std::min(crashedAt_.size(), tellingCrashes);
        const TimePoint from = telling > 0 ? crashedAt_[telling - 1] + 2 * spreadTime : startedCrashing_;
        return {servedShare([this](TimePoint at) { return at < startedCrashing_; }), servedShare([from](TimePoint at) { return at > from; })};
    }

private:
    struct Result
    {
        TimePoint sentAt;
        bool isServed = false;
    };

    static std::string nameOf(std::size_t target)
    {
        return "t" + std::to_string(target);
    }

    double servedShare(const std::function<bool(TimePoint)> &isCounted) const
    {
        double sent = 0;
        double served = 0;
        for (const Result &result : results_) {
            if (!isCounted(result.sentAt)) {
                continue;
            }
            sent += 1;
            served += result.isServed ? 1 : 0;
        }
        return sent > 0 ? served / sent : 0;
    }

    void serve(std::size_t target, Connection &connection, const Request &request)
    {
        const bool isCrashing = contains(request.head, crashingPart);
        if (isCrashing) {
            const std::lock_guard lock(mutex_);
            arrivedAt_.push_back(BootClock::now());
        }
        std::this_thread::sleep_for(prefillTime);
        if (isCrashing) {
            connection.send("HTTP/1.1 200 X\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id")
                            + "\r\nLovageloft-Response-Stamp: s\r\nContent-Length: 100\r\n\r\nw");
            crash(target);
            return;
        }
        std::this_thread::sleep_for(writeTime);
        connection.answer(request, 200, "whole");
    }

    /// The target ends with all its connections, and accepts none until it starts again.
    void crash(std::size_t target)
    {
        {
            const std::lock_guard lock(mutex_);
            if (downUntil_.at(target)) {
                return;
            }
            crashedAt_.push_back(BootClock::now());
            downUntil_.at(target) = BootClock::now() + downTime;
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            setLink(host, nameOf(target), LinkMode::Reset);
        }
    }

    void restartCrashed()
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            {
                const std::lock_guard lock(mutex_);
                if (!downUntil_.at(i) || BootClock::now() < *downUntil_.at(i)) {
                    continue;
                }
                downUntil_.at(i).reset();
            }
            for (std::size_t host = 0; host < hostCount; ++host) {
                setLink(host, nameOf(i), LinkMode::Up);
            }
            changeTarget(nameOf(i), [](Target &entry) { ++entry.incarnation; });
        }
    }

    void callSound(std::size_t caller, TimePoint end)
    {
        constexpr std::array<std::string_view, 3> sharedParts{"50a10001", "50a10002", "50a10003"};
        while (BootClock::now() < end) {
            const int number = ++lastNumber_;
            const TimePoint sentAt = BootClock::now();
            const std::string text =
                GatewayFixture::request("POST", "/safe/x", std::to_string(number), prompt(sharedParts.at(caller % sharedParts.size()), number));
            const bool isServed = exchange(caller % hostCount, text).starts_with("HTTP/1.1 200 ");
            const std::lock_guard lock(mutex_);
            results_.push_back({sentAt, isServed});
        }
    }

    void callCrashing(std::size_t caller, TimePoint from, TimePoint end)
    {
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + (from - BootClock::now()));
        for (std::size_t i = caller; BootClock::now() < end; ++i) {
            const int number = ++lastNumber_;
            exchange(i % hostCount, GatewayFixture::request("POST", "/safe/x", std::to_string(number), prompt(crashingPart, number)));
            std::this_thread::sleep_for(20ms);
        }
    }

    std::mutex mutex_;
    std::array<std::optional<TimePoint>, targetCount> downUntil_;
    std::vector<TimePoint> crashedAt_;
    std::vector<TimePoint> arrivedAt_;
    std::vector<Result> results_;
    TimePoint startedCrashing_;
    std::atomic<int> lastNumber_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingPart, CrashingPartFixture)

// Guards against requests that share a part of their prompts, no two alike, and crash one target after the other, while sound requests with the same key
// and first part are not served.
BOOST_AUTO_TEST_CASE(requestsWithAPartThatCrashesTargetsAreNotSentOn)
{
    play();
    const auto [before, after] = servedShares();
    BOOST_TEST_MESSAGE(crashes() << " crashes, " << lateArrivals() << " late arrivals; sound requests served: " << before << " before, " << after << " after");
    BOOST_TEST(crashes() > 0U);
    BOOST_TEST(lateArrivals() == 0U);
    BOOST_TEST(after >= minServedShare * before);
}

BOOST_AUTO_TEST_SUITE_END()
