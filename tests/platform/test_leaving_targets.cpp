#define BOOST_TEST_MODULE leaving_targets
#include <mutex>

#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 6;
constexpr std::size_t targetCount = 4;
constexpr std::size_t callersPerHost = 3;

/// Time from a target's first word that it leaves until no host sends to it any more.
constexpr Duration noticeTime = 500ms;

constexpr Duration sendTime = 3s;
constexpr double minServed = 0.99;

/// Targets that record when requests arrive. The first of them is the one that leaves.
class LeavingFixture : public FleetFixture
{
public:
    LeavingFixture()
        : FleetFixture(hostCount)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            addTarget(std::string(1, static_cast<char>('a' + i)), [this, i](Connection &connection, const Request &request) {
                const bool leaves = i == 0 && arrivedAtFirst();
                connection.answer(request, 200, "whole", leaves ? "Server-Leaving: 1\r\n" : "");
            });
        }
    }

    /// Has callers of some hosts send requests for a time, and returns the share that is served.
    double sendFor(Duration time, const std::vector<std::size_t> &hosts) const
    {
        return servedShare(
            hosts, callersPerHost, [](std::size_t) { return "/safe/x"; }, time);
    }

    void setSaysThatItLeaves(bool says)
    {
        const std::lock_guard lock(mutex_);
        saysThatItLeaves_ = says;
        arrivals_.clear();
    }

    /// Requests that reached the leaving target later than `noticeTime` after `from`.
    std::size_t lateArrivals(TimePoint from)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), [from](TimePoint arrival) { return arrival > from + noticeTime; }));
    }

    std::size_t arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_.size();
    }

private:
    /// Records a request, and returns whether the answer says that the target leaves.
    bool arrivedAtFirst()
    {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(BootClock::now());
        return saysThatItLeaves_;
    }

    std::mutex mutex_;
    std::vector<TimePoint> arrivals_;
    bool saysThatItLeaves_ = false;
};

const std::vector<std::size_t> allHosts{0, 1, 2, 3, 4, 5};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingTargets, LeavingFixture)

// Guards against requests to a target that has left, by a host that had not heard of it before the store was away and keeps the target for a while.
BOOST_AUTO_TEST_CASE(aHostThatKeepsAnUnlistedTargetHearsFromOthersThatItLeaves)
{
    constexpr std::size_t late = 5;
    BOOST_TEST(sendFor(1'500ms, {late}) == 1.0); // Until hosts don't ask each other any more because they have just started.
    BOOST_TEST(arrivals() > 0U);
    for (std::size_t host = 0; host < late; ++host) {
        changeTargetAt(host, "a", [](Target &entry) { entry.isLeaving = true; });
    }
    const TimePoint from = BootClock::now();
    changeTargetAt(late, "a", [](Target &entry) { entry.isUnlisted = true; });
    BOOST_TEST(sendFor(2s, {late}) >= minServed);
    BOOST_TEST(lateArrivals(from) == 0U);
}

// Guards against requests that hosts go on sending to a target whose answers say that it leaves, while its entry doesn't say so yet.
BOOST_AUTO_TEST_CASE(aTargetThatSaysInItsAnswersThatItLeavesGetsNoMoreRequests)
{
    BOOST_TEST(sendFor(1'500ms, allHosts) >= minServed);
    setSaysThatItLeaves(true);
    const TimePoint from = BootClock::now();
    BOOST_TEST(sendFor(sendTime, allHosts) >= minServed);
    BOOST_TEST(arrivals() > 0U);
    BOOST_TEST_MESSAGE(lateArrivals(from) << " of " << arrivals() << " requests came late");
    BOOST_TEST(lateArrivals(from) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
