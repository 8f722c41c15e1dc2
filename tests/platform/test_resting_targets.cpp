#define BOOST_TEST_MODULE resting_targets
#include <array>
#include <map>
#include <mutex>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "tests/platform/fleet_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::size_t> allHosts{0, 1, 2, 3, 4, 5};
constexpr std::size_t targetCount = 4;
constexpr std::size_t callersPerHost = 3;

/// Retry-After of a target that turns a request away.
constexpr Duration rest = 3s;

/// From this time after it has turned a host away until the end of its rest, a target gets no more than this many requests from that host.
constexpr Duration noticeTime = 500ms;
constexpr std::size_t allowedInRest = 2;

constexpr double minServed = 0.99;

/// A refusal within this time is prompt.
constexpr Duration promptTime = 200ms;

/// Targets that turn requests away with Retry-After while they are told to, and record what they get from which host. Callers name their host in the
/// path.
class RestFixture : public FleetFixture
{
public:
    RestFixture()
        : FleetFixture(allHosts.size())
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            addTarget(std::string(1, static_cast<char>('a' + i)), [this, i](Connection &connection, const Request &request) {
                if (turnsAway(i, hostOf(request))) {
                    connection.answer(request, 503, "later", "Retry-After: 3\r\nLovageloft-Not-Executed: shed\r\n");
                } else {
                    connection.answer(request, 200, "whole");
                }
            });
        }
    }

    /// Has callers of all hosts send requests for a time, and returns the share that is served.
    double sendFor(Duration time) const
    {
        return servedShare(
            allHosts, callersPerHost, [](std::size_t host) { return "/safe/" + std::to_string(host); }, time);
    }

    /// From now on, the first `count` targets turn requests away.
    void setTurningAway(std::size_t count)
    {
        const std::lock_guard lock(mutex_);
        turningAway_ = count;
    }

    std::size_t rests()
    {
        const std::lock_guard lock(mutex_);
        return rests_;
    }

    /// Rests in which a target got more than `allowedInRest` requests.
    std::size_t brokenRests()
    {
        const std::lock_guard lock(mutex_);
        std::size_t broken = 0;
        for (const auto &[pair, visits] : visits_) {
            for (const Visit &asking : visits) {
                const auto inRest = std::count_if(
                    visits.begin(), visits.end(), [&asking](const Visit &visit) { return visit.at > asking.at + noticeTime && visit.at < asking.at + rest; });
                broken += asking.isTurnedAway && static_cast<std::size_t>(inRest) > allowedInRest ? 1 : 0;
            }
        }
        return broken;
    }

private:
    /// A request that a target got from a host.
    struct Visit
    {
        TimePoint at;
        bool isTurnedAway = false;
    };

    static std::size_t hostOf(const Request &request)
    {
        return static_cast<std::size_t>(request.head.at(request.head.find("/safe/") + std::string_view("/safe/").size()) - '0');
    }

    bool turnsAway(std::size_t target, std::size_t host)
    {
        const std::lock_guard lock(mutex_);
        const bool isTurnedAway = target < turningAway_;
        rests_ += isTurnedAway ? 1 : 0;
        visits_[{target, host}].push_back({BootClock::now(), isTurnedAway});
        return isTurnedAway;
    }

    std::mutex mutex_;
    std::map<std::pair<std::size_t, std::size_t>, std::vector<Visit>> visits_; ///< By target and host.
    std::size_t turningAway_ = 0;
    std::size_t rests_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestingTargets, RestFixture)

// Guards against requests that a host goes on sending to a target which has asked it for rest.
BOOST_AUTO_TEST_CASE(aTargetThatAsksForRestGetsIt)
{
    setTurningAway(2);
    const double served = sendFor(8s);
    BOOST_TEST(rests() > 0U);
    BOOST_TEST_MESSAGE(brokenRests() << " of " << rests() << " rests broken");
    BOOST_TEST(brokenRests() == 0U);
    BOOST_TEST(served >= minServed);
}

// Guards against callers that wait for targets which all rest, and against targets that are forgotten after their rest.
BOOST_AUTO_TEST_CASE(whileAllTargetsRestCallersAreToldWhenToComeBack)
{
    setTurningAway(targetCount);
    const TimePoint start = BootClock::now();
    exchange(0, GatewayFixture::request("GET", "/safe/0"));
    while (rests() < targetCount && BootClock::now() < start + 2s) {
        exchange(0, GatewayFixture::request("GET", "/safe/0"));
    }
    BOOST_REQUIRE(rests() >= targetCount);
    setTurningAway(0);
    const TimePoint askedAt = BootClock::now();
    const std::string answer = exchange(0, GatewayFixture::request("GET", "/safe/0"));
    const TimePoint answeredAt = BootClock::now();
    BOOST_TEST((answeredAt - askedAt <= promptTime));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    const std::size_t at = answer.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    const Duration retryAfter = fromSeconds(std::stod(answer.substr(at + std::string_view("Retry-After: ").size())));
    BOOST_TEST((answeredAt + retryAfter >= start + rest));
    BOOST_TEST((askedAt + retryAfter <= askedAt + rest + 1s));
    std::this_thread::sleep_for(retryAfter);
    BOOST_TEST(servedShare(0, "GET", "/safe/0", 500ms) == 1.0);
    BOOST_TEST(brokenRests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
