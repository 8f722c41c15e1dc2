#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "tests/system/fault_schedule.h"
#include "tests/system/stream_outcome.h"

using namespace Lovageloft;

namespace
{

constexpr std::uint64_t seed = 20261203;
constexpr std::size_t streamers = 6;
constexpr std::size_t clerks = 3;
constexpr int tokens = 60;
constexpr std::chrono::seconds span{15};
constexpr std::chrono::milliseconds pause{50};
constexpr std::string_view withdrawnKey = "lk-withdrawn";

/// What all callers together saw.
struct Observed
{
    std::mutex mutex;
    std::map<StreamOutcome, int> streams;
    std::map<int, int> codes; ///< Of refusals; 0 for all else.
    std::vector<Correction> corrections;
};

void stream(SystemFixture &system, std::size_t caller, TimePoint end, Observed &observed)
{
    Random random(seed + caller);
    while (BootClock::now() < end) {
        const CallerAnswer answer = system.call(randomBelow(random, system.hostCount()), SystemFixture::chat(tokens), std::chrono::seconds(5));
        const StreamOutcome outcome = judgeStream(answer, tokens);
        {
            const std::lock_guard lock(observed.mutex);
            ++observed.streams[outcome];
            ++observed.codes[answer.code()];
        }
        if (outcome != StreamOutcome::Whole) {
            std::this_thread::sleep_for(pause);
        }
    }
}

void lodge(CorrectionSystem &system, std::size_t caller, TimePoint end, Observed &observed)
{
    Random random(seed + streamers + caller);
    for (int i = 0; BootClock::now() < end; ++i) {
        Correction correction = CorrectionSystem::makeCorrection("key-" + std::to_string(caller) + "-" + std::to_string(i));
        while (correction.answers.empty() && correction.tries < 4) {
            system.lodge(correction, randomBelow(random, system.hostCount()));
            std::this_thread::sleep_for(pause);
        }
        const std::lock_guard lock(observed.mutex);
        observed.corrections.push_back(std::move(correction));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TwoFaultsSystemTest)

BOOST_AUTO_TEST_CASE(whatMustHoldHoldsUnderTwoFaultsAtATime)
{
    // Faults come together: a host is killed while another is paused, or the store is down while a service loses its answers.
    // Callers may be refused or see a broken connection then; what they are given as an answer must still be whole, a correction
    // must not run twice, and a key withdrawn in the middle must stay withdrawn.
    CorrectionSystem system(2);
    TeamConfiguration team = system.desk();
    team.keys.push_back(makeKeyDigest("withdrawn", withdrawnKey));
    BOOST_TEST_REQUIRE(system.applyTicket(0, {team}) == 2);
    FaultSchedule schedule(system, seed);
    Observed observed;
    const TimePoint begin = BootClock::now();
    const TimePoint end = begin + span;
    std::int64_t withdrawal = 0;
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < streamers; ++i) {
            callers.emplace_back([&, i] { stream(system, i, end, observed); });
        }
        for (std::size_t i = 0; i < clerks; ++i) {
            callers.emplace_back([&, i] { lodge(system, i, end, observed); });
        }
        while (BootClock::now() < end) {
            schedule.step(2);
            if (withdrawal == 0 && BootClock::now() > begin + span / 3) {
                withdrawal = system.applyTicket(1, {system.desk()});
            }
        }
    }
    BOOST_TEST_MESSAGE("seed " << seed << ": " << schedule.history());
    BOOST_TEST(withdrawal > 2);
    for (std::size_t i = 0; i < system.hostCount(); ++i) {
        BOOST_TEST(waitFor(SystemFixture::patience, [&] { return system.isReady(i) && system.isInForce(i, withdrawal); }));
        const CallerAnswer refused = system.call(i, SystemFixture::chat(1, true, withdrawnKey));
        BOOST_TEST(refused.code() == static_cast<int>(ResultCode::UnknownKey), refused.head << refused.body);
        BOOST_TEST(waitFor(SystemFixture::patience, [&] { return judgeStream(system.call(i, SystemFixture::chat(tokens)), tokens) == StreamOutcome::Whole; }));
    }
    for (const auto &[outcome, count] : observed.streams) {
        BOOST_TEST_MESSAGE(count << " streams " << outcome);
    }
    for (const auto &[code, count] : observed.codes) {
        BOOST_TEST_MESSAGE(count << " streams with code " << code);
    }
    BOOST_TEST(observed.streams[StreamOutcome::Misleading] == 0);
    BOOST_TEST(observed.streams[StreamOutcome::Whole] > 0);
    std::size_t answered = 0;
    for (Correction &correction : observed.corrections) {
        answered += correction.answers.empty() ? 0 : 1;
        system.lodge(correction, 2);
        system.check(correction);
    }
    BOOST_TEST_MESSAGE(observed.corrections.size() << " corrections, " << answered << " answered");
    BOOST_TEST(answered > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
