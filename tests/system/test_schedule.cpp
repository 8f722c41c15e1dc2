#include <atomic>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "tests/system/fault_schedule.h"

using namespace Lovageloft;

namespace
{

constexpr int okStatus = 200;
constexpr std::uint64_t seed = 20261202;
constexpr std::size_t callerCount = 6;
constexpr std::size_t correctionsEach = 20;
constexpr int mostTries = 8;

/// Lodges one caller's corrections one after the other, each at random hosts until it is answered.
void lodgeAll(CorrectionSystem &system, std::size_t caller, std::vector<Correction> &corrections, std::atomic<int> &lies)
{
    constexpr std::chrono::milliseconds pause{50};
    Random random(seed + caller);
    for (Correction &correction : corrections) {
        while (correction.tries < mostTries && system.lodge(correction, randomBelow(random, system.hostCount())).status != okStatus) {
            // "Not run" right after an earlier try that ran would make its caller lodge the call again under a new key.
            lies += correction.lastWasNotRun && system.executions(correction) > 0 ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
        std::this_thread::sleep_for(pause);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ScheduleSystemTest)

BOOST_AUTO_TEST_CASE(noCorrectionRunsTwiceUnderRandomFaults)
{
    // Clerks lodge corrections all day and try again at whatever host answers, while the store loses answers, is down or slow, the
    // services lose theirs, and hosts are killed or paused. A doubled correction issues an erratum twice.
    CorrectionSystem system;
    FaultSchedule schedule(system, seed);
    std::vector<std::vector<Correction>> corrections(callerCount);
    std::atomic<int> lies{0};
    std::atomic<std::size_t> finished{0};
    {
        std::vector<std::jthread> callers;
        callers.reserve(callerCount);
        for (std::size_t i = 0; i < callerCount; ++i) {
            for (std::size_t k = 0; k < correctionsEach; ++k) {
                corrections[i].push_back(CorrectionSystem::makeCorrection("key-" + std::to_string(i) + "-" + std::to_string(k)));
            }
            callers.emplace_back([&, i] {
                lodgeAll(system, i, corrections[i], lies);
                ++finished;
            });
        }
        while (finished < callerCount) {
            schedule.step(1);
        }
    }
    BOOST_TEST_MESSAGE("seed " << seed << ": " << schedule.history());
    for (std::size_t i = 0; i < system.hostCount(); ++i) {
        BOOST_TEST(waitFor(SystemFixture::patience, [&] { return system.isReady(i); }));
    }
    BOOST_TEST(lies == 0);
    int answered = 0;
    int tries = 0;
    for (std::vector<Correction> &mine : corrections) {
        for (Correction &correction : mine) {
            tries += correction.tries;
            // One more try in the calm says what became of it for good.
            const CallerAnswer last = system.lodge(correction, 0);
            const bool isKnown = last.status == okStatus || last.code() == static_cast<int>(ResultCode::MayHaveRun);
            BOOST_TEST(isKnown, last.head << last.body);
            answered += last.status == okStatus ? 1 : 0;
            system.check(correction);
        }
    }
    BOOST_TEST_MESSAGE(tries << " tries of " << callerCount * correctionsEach << " corrections, " << answered << " answered in the end");
    BOOST_TEST(answered > static_cast<int>(callerCount * correctionsEach / 2));
}

BOOST_AUTO_TEST_SUITE_END()
