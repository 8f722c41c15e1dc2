#define BOOST_TEST_MODULE limit_soak
#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <sstream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "tests/platform/fleet_fixture.h"
#include "tests/platform/soak_seeds.h"

using namespace Lovageloft;
using namespace std::chrono_literals;
using StandIns::LinkMode;

namespace
{

constexpr std::size_t hostCount = 6;
constexpr std::size_t targetCount = 6;
constexpr std::size_t callerCount = 12;
constexpr int eventCount = 12;

/// The users' bound: in any window from `settleTime` after a value was first stated, at most `allowedFactor` times the rate and `allowedExcess` requests.
constexpr Duration window = 4s;
constexpr Duration settleTime = 3s;
constexpr double allowedFactor = 1.5;
constexpr double allowedExcess = 5;

constexpr std::array<double, 4> rates{0.8, 2.1, 5, 20};
constexpr double unlimited = -1;

/// Six hosts and six targets that state rates which change, beside links that come and go and event loops that stand still.
class Soak : public FleetFixture
{
public:
    explicit Soak(std::uint64_t seed)
        : FleetFixture(hostCount)
        , random_(seed)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            stretches_[i].push_back({BootClock::now(), unlimited});
            addTarget(std::string(1, static_cast<char>('a' + i)),
                      [this, i](Connection &connection, const Request &request) { connection.answer(request, 200, "whole", arrive(i)); });
        }
    }

    void run()
    {
        std::atomic<bool> isStopped = false;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.emplace_back([this, i, &isStopped] { call(i % hostCount, isStopped); });
        }
        for (std::size_t i = 0; i < targetCount; ++i) {
            state(i, rates.at(randomBelow(random_, rates.size())));
        }
        for (int i = 0; i < eventCount; ++i) {
            disturb();
            std::this_thread::sleep_for(300ms + randomUpTo(random_, 700ms));
        }
        std::this_thread::sleep_for(window);
        isStopped = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    /// What targets got above their rates.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        for (std::size_t i = 0; i < targetCount; ++i) {
            for (std::size_t stretch = 0; stretch < stretches_[i].size(); ++stretch) {
                check(i, stretch, found);
            }
        }
        return found;
    }

private:
    /// A time in which a target states one rate.
    struct Stretch
    {
        TimePoint from;
        double rate = unlimited;
    };

    std::string arrive(std::size_t target)
    {
        const std::lock_guard lock(mutex_);
        arrivals_[target].push_back(BootClock::now());
        const double rate = stretches_[target].back().rate;
        std::ostringstream field;
        field << "Server-Limit: " << rate << "\r\n";
        return rate == unlimited ? std::string() : field.str();
    }

    void state(std::size_t target, double rate)
    {
        const std::lock_guard lock(mutex_);
        stretches_[target].push_back({BootClock::now(), rate});
    }

    void call(std::size_t host, const std::atomic<bool> &isStopped) const
    {
        while (!isStopped) {
            exchange(host, GatewayFixture::request("GET", "/safe/x"));
            std::this_thread::sleep_for(5ms);
        }
    }

    void disturb()
    {
        const std::size_t host = randomBelow(random_, hostCount);
        switch (randomBelow(random_, 4)) {
        case 0:
            state(randomBelow(random_, targetCount), randomBelow(random_, 3) == 0 ? unlimited : rates.at(randomBelow(random_, rates.size())));
            break;
        case 1:
            setLinks(host, randomBelow(random_, 2) == 0 ? LinkMode::Reset : LinkMode::Silent);
            break;
        case 2:
            setLinks(host, LinkMode::Up);
            break;
        default:
            onLoop(host, [time = randomUpTo(random_, 1s)](Gateway &) { std::this_thread::sleep_for(time); });
            break;
        }
    }

    void check(std::size_t target, std::size_t stretch, std::vector<std::string> &found) const
    {
        const auto &[from, rate] = stretches_[target][stretch];
        const TimePoint end = stretch + 1 < stretches_[target].size() ? stretches_[target][stretch + 1].from : TimePoint::max();
        const std::vector<TimePoint> &times = arrivals_[target];
        const auto firstHeard = std::lower_bound(times.begin(), times.end(), from);
        if (rate == unlimited || firstHeard == times.end()) {
            return;
        }
        const auto last = std::lower_bound(times.begin(), times.end(), end);
        for (auto first = std::lower_bound(times.begin(), times.end(), *firstHeard + settleTime); first < last; ++first) {
            const auto count = std::min(std::lower_bound(first, times.end(), *first + window), last) - first;
            if (static_cast<double>(count) > allowedFactor * rate * toSeconds(window) + allowedExcess) {
                found.push_back("a target that stated " + std::to_string(rate) + " a second got " + std::to_string(count) + " requests in 4 s");
                return;
            }
        }
    }

    Random random_;
    mutable std::mutex mutex_;
    std::array<std::vector<TimePoint>, targetCount> arrivals_;
    std::array<std::vector<Stretch>, targetCount> stretches_;
};

} // namespace

// Guards against targets that get more than they state while their limits change, links fail and hosts stand still.
BOOST_DATA_TEST_CASE(statedRatesHoldBesideFaults, boost::unit_test::data::make(soakSeeds("LIMIT_SOAK")), seed)
{
    Soak soak(seed);
    soak.run();
    for (const std::string &violation : soak.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation);
    }
}
