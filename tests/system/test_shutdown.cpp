#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr std::size_t callerCount = 20;
constexpr int longTokens = 600;
constexpr int shortTokens = 5;
constexpr std::chrono::seconds exitLimit{30};

struct DrainedSystem : SystemFixture
{
    // A long stream lasts three seconds and more, longer than the notice.
    DrainedSystem()
        : SystemFixture({.engineArguments = {"--token-delay-us", "5000"}, .moreSettings = "[routing]\ndrain_notice = 2500\n"})
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShutdownSystemTest, DrainedSystem)

BOOST_AUTO_TEST_CASE(aGracefulShutdownUnderLoadCutsNothing)
{
    // A host is replaced on a busy morning. The balancer goes on sending work until it has seen the health check fail; work refused
    // or cut meanwhile is an error that callers see on every replacement.
    std::vector<StreamOutcome> outcomes(callerCount, StreamOutcome::Broken);
    std::vector<std::jthread> callers;
    std::atomic<int> begun{0};
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            ++begun;
            outcomes[i] = judgeStream(call(0, chat(longTokens)), longTokens);
        });
    }
    BOOST_TEST(waitFor(patience, [&] { return numberIn(callOperator(0, "GET", "/operator/status").body, "running") >= static_cast<int>(callerCount); }));
    host(0).sendSignal(SIGTERM);
    BOOST_TEST(waitFor(patience, [this] { return !isReady(0); }));
    // Still within the notice: the balancer has not noticed yet.
    const TimePoint noticeEnds = BootClock::now() + std::chrono::milliseconds(900);
    while (BootClock::now() < noticeEnds) {
        const CallerAnswer late = call(0, chat(shortTokens));
        BOOST_TEST(judgeStream(late, shortTokens) == StreamOutcome::Whole, late.head << late.body);
    }
    callers.clear();
    for (const StreamOutcome outcome : outcomes) {
        BOOST_TEST(outcome == StreamOutcome::Whole);
    }
    const auto status = host(0).waitForExit(exitLimit);
    BOOST_TEST(status.value_or(-1) == 0);
    BOOST_TEST(judgeStream(call(1, chat(shortTokens)), shortTokens) == StreamOutcome::Whole);
}

BOOST_AUTO_TEST_SUITE_END()
