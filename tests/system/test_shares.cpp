#include <atomic>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr std::string_view greedyKey = "lk-greedy-key";
constexpr std::string_view modestKey = "lk-modest-key";
constexpr int okStatus = 200;
constexpr int tokens = 50;
constexpr double rate = 3'000;
constexpr double burst = 6'000;
constexpr std::chrono::seconds span{10};

struct SharedSystem : SystemFixture
{
    SharedSystem()
        : SystemFixture(
            {.moreTeams = {{"greedy", rate, burst, {makeKeyDigest("lk-greedy", greedyKey)}}, {"modest", rate, burst, {makeKeyDigest("lk-modest", modestKey)}}}})
    {
    }

    std::int64_t startedCalls()
    {
        return numberIn(record(engine(0)), "started") + numberIn(record(engine(1)), "started");
    }

    /// Whether all hosts together hold a team's whole burst.
    bool hasFullBurst(std::string_view team) const
    {
        constexpr std::int64_t rounding = 10;
        std::int64_t held = 0;
        for (std::size_t i = 0; i < hostCount(); ++i) {
            const std::string rows = callOperator(i, "GET", "/operator/teams").body;
            const std::size_t row = rows.find("\"team\":\"" + std::string(team) + "\"");
            held += row == std::string::npos ? 0 : numberIn(std::string_view(rows).substr(row), "tokens_here");
        }
        return held + rounding >= static_cast<std::int64_t>(burst);
    }
};

/// What one team's callers saw.
struct Usage
{
    std::atomic<std::int64_t> tokens{0}; ///< As the answers' usage says.
    std::atomic<int> answers{0};
    std::atomic<int> overRate{0};
    std::atomic<int> otherRefusals{0};
};

/// Sends a call every `period` until `end`, at one host after the other.
void callAtPace(const SystemFixture &system, std::string_view key, std::size_t firstHost, Duration period, TimePoint end, Usage &usage)
{
    TimePoint next = BootClock::now();
    for (std::size_t i = firstHost; next < end; ++i) {
        std::this_thread::sleep_for(next - BootClock::now());
        next += period;
        const CallerAnswer answer = system.call(i % system.hostCount(), SystemFixture::chat(tokens, false, key));
        if (answer.status == okStatus) {
            usage.tokens += numberIn(answer.body, "total_tokens");
            ++usage.answers;
        } else if (answer.code() == static_cast<int>(ResultCode::OverRate)) {
            ++usage.overRate;
        } else {
            ++usage.otherRefusals;
        }
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SharesSystemTest, SharedSystem)

BOOST_AUTO_TEST_CASE(aTeamAtFiveTimesItsRateGetsItsRateAndTakesNothingFromAnother)
{
    // One team sends several times its rate through all hosts at once. Hosts that each allowed the whole rate would give it three
    // times its due, and a team well inside its own rate would be refused or wait for it.
    constexpr std::size_t greedyCallers = 15;
    constexpr std::size_t modestCallers = 3;
    constexpr double greedyFactor = 5;
    constexpr double modestFactor = 0.6;
    // A call costs its answer and a prompt of a few tokens.
    constexpr double callTokens = tokens + 8;
    const auto period = [](double factor, std::size_t callers) { return fromSeconds(callTokens * static_cast<double>(callers) / (rate * factor)); };
    // Buckets begin empty; both teams are to begin with a full one.
    BOOST_TEST_REQUIRE(waitFor(patience, [this] { return hasFullBurst("greedy") && hasFullBurst("modest"); }));
    Usage greedy;
    Usage modest;
    const TimePoint begin = BootClock::now();
    const TimePoint end = begin + span;
    {
        std::vector<std::jthread> callers;
        callers.reserve(greedyCallers + modestCallers);
        for (std::size_t i = 0; i < greedyCallers; ++i) {
            callers.emplace_back([&, i] { callAtPace(*this, greedyKey, i, period(greedyFactor, greedyCallers), end, greedy); });
        }
        for (std::size_t i = 0; i < modestCallers; ++i) {
            callers.emplace_back([&, i] { callAtPace(*this, modestKey, i, period(modestFactor, modestCallers), end, modest); });
        }
    }
    const double elapsed = toSeconds(BootClock::now() - begin);
    const double allowed = rate * elapsed + burst;
    BOOST_TEST_MESSAGE("greedy: " << greedy.tokens << " tokens in " << elapsed << " s of " << allowed << " allowed, " << greedy.answers << " answers, "
                                  << greedy.overRate << " over rate, " << greedy.otherRefusals << " other refusals");
    BOOST_TEST_MESSAGE("modest: " << modest.tokens << " tokens, " << modest.answers << " answers, " << modest.overRate << " over rate, " << modest.otherRefusals
                                  << " other refusals");
    BOOST_TEST(static_cast<double>(greedy.tokens) <= allowed);
    BOOST_TEST(static_cast<double>(greedy.tokens) >= allowed / 2);
    BOOST_TEST(greedy.overRate > 0);
    BOOST_TEST(modest.answers > 0);
    BOOST_TEST(modest.overRate == 0);
    BOOST_TEST(modest.otherRefusals == 0);
}

BOOST_AUTO_TEST_CASE(restartsAndPausesGiveATeamNoMore)
{
    // Hosts are killed, replaced and paused while a team sends five times its rate. A host that came back with a full bucket, or
    // that caught up on the refill of its pause, would give the team a burst more each time.
    constexpr std::size_t callers = 15;
    // A call costs its answer and a prompt of a few tokens; the engines count the calls, also those whose callers lost the answer.
    const CallerAnswer sample = call(0, chat(tokens, false));
    const std::int64_t callTokens = numberIn(sample.body, "total_tokens");
    BOOST_TEST_REQUIRE(callTokens >= tokens);
    BOOST_TEST_REQUIRE(waitFor(patience, [this] { return hasFullBurst("greedy"); }));
    const std::int64_t startedBefore = startedCalls();
    Usage greedy;
    const TimePoint begin = BootClock::now();
    const TimePoint end = begin + span;
    {
        std::vector<std::jthread> threads;
        threads.reserve(callers);
        for (std::size_t i = 0; i < callers; ++i) {
            threads.emplace_back([&, i] { callAtPace(*this, greedyKey, i, std::chrono::milliseconds(50), end, greedy); });
        }
        for (std::size_t i = 0; BootClock::now() < end; ++i) {
            const std::size_t paused = (i + 1) % hostCount();
            host(paused).freeze();
            std::this_thread::sleep_for(std::chrono::milliseconds(800));
            host(paused).resume();
            restartHost(i % hostCount());
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    }
    const double elapsed = toSeconds(BootClock::now() - begin);
    const std::int64_t executed = (startedCalls() - startedBefore) * callTokens;
    const double allowed = rate * elapsed + burst;
    BOOST_TEST_MESSAGE("under restarts and pauses: " << executed << " tokens executed in " << elapsed << " s of " << allowed << " allowed, " << greedy.answers
                                                     << " answers, " << greedy.overRate << " over rate, " << greedy.otherRefusals << " others");
    BOOST_TEST(static_cast<double>(executed) <= allowed);
    BOOST_TEST(greedy.answers > 0);
    BOOST_TEST(greedy.overRate > 0);
}

BOOST_AUTO_TEST_SUITE_END()
