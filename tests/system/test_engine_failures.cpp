#include <atomic>
#include <csignal>
#include <map>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/servers/raw_caller.h"
#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr std::size_t callerCount = 20;
constexpr int tokens = 300;
/// Silence of an engine after which its streams are carried on elsewhere, as the settings below say.
constexpr std::string_view settings = "[routing]\nengine_timeout = 1500\n";

struct SlowSystem : SystemFixture
{
    // A stream lasts about a second and a half, so that a fault falls into the middle of all of them.
    SlowSystem()
        : SystemFixture({.engines = 3, .engineArguments = {"--token-delay-us", "5000"}, .moreSettings = std::string(settings)})
    {
    }

    /// Waits until all twenty callers' streams are under way, then shows the fault, and judges what each got.
    template <typename Fault>
    std::map<StreamOutcome, int> streamThrough(Fault fault)
    {
        std::vector<StreamOutcome> outcomes(callerCount);
        std::vector<int> codes(callerCount);
        std::atomic<std::size_t> begun = 0;
        {
            std::vector<std::jthread> callers;
            callers.reserve(callerCount);
            for (std::size_t i = 0; i < callerCount; ++i) {
                callers.emplace_back([&, i] {
                    const CallerAnswer answer = callAndCount(i % hostCount(), begun);
                    outcomes[i] = judgeStream(answer, tokens);
                    codes[i] = answer.code();
                });
            }
            BOOST_TEST(waitFor(patience, [&begun] { return begun == callerCount; }));
            fault();
        }
        std::map<StreamOutcome, int> counts;
        for (const StreamOutcome outcome : outcomes) {
            ++counts[outcome];
        }
        for (std::size_t i = 0; i < callerCount; ++i) {
            if (outcomes[i] != StreamOutcome::Whole) {
                BOOST_TEST_MESSAGE("host " << i % hostCount() << ": " << outcomes[i] << ", code " << codes[i]);
            }
        }
        return counts;
    }

    /// One caller's request; counts it in `begun` once the caller has received an event. A stream that has only reached its host would rightly be
    /// refused instead of broken off.
    CallerAnswer callAndCount(std::size_t host, std::atomic<std::size_t> &begun) const
    {
        RawCaller caller(callerPort(host));
        caller.send(chat(tokens));
        caller.readUntil("data: ");
        ++begun;
        return caller.readAnswer();
    }

    std::size_t busiestEngine()
    {
        std::size_t busiest = 0;
        std::int64_t most = -1;
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string text = record(engine(i));
            const std::int64_t running = numberIn(text, "started") - numberIn(text, "completed") - numberIn(text, "cancelled") - numberIn(text, "faulted");
            if (running > most) {
                busiest = i;
                most = running;
            }
        }
        return busiest;
    }
};

/// Engines are left that can carry the streams on, but a host's retry budget may not reach for all of them at once. What must hold
/// is that none misleads and none is cut.
void checkNoneMisleads(std::map<StreamOutcome, int> counts)
{
    BOOST_TEST(counts[StreamOutcome::Misleading] == 0);
    BOOST_TEST(counts[StreamOutcome::Broken] == 0);
    BOOST_TEST(counts[StreamOutcome::Whole] > 0);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineFailureSystemTest, SlowSystem)

BOOST_AUTO_TEST_CASE(anEngineThatDiesCutsNoStreamShort)
{
    // An engine's process dies with a third of the streams on it. A caller that got half an answer and then a clean end would take
    // it for whole; a half answer glued to another beginning would be nonsense.
    const auto counts = streamThrough([this] { engine(busiestEngine()).process->kill(); });
    checkNoneMisleads(counts);
}

BOOST_AUTO_TEST_CASE(anEngineThatFreezesAndWakesMixesNoStreams)
{
    // An engine's machine is paused in the middle of its streams. Others carry them on, and then the engine wakes and sends the
    // rest of its old answers. A router that still listened would pass some tokens twice.
    const auto counts = streamThrough([this] {
        const std::size_t frozen = busiestEngine();
        engine(frozen).process->freeze();
        std::this_thread::sleep_for(std::chrono::seconds(3));
        engine(frozen).process->resume();
    });
    checkNoneMisleads(counts);
}

BOOST_AUTO_TEST_CASE(enginesThatGoSilentMidStreamCutNoStreamShort)
{
    // Connections to an engine go silent for good in the middle of answers while new ones work. Nothing ever arrives that would
    // say so; a caller would wait for ever, or be told that the half was all.
    for (std::size_t i = 0; i < 3; ++i) {
        planFault(engine(i), R"({"freeze_after_tokens":100,"times":3})");
    }
    checkNoneMisleads(streamThrough([] {}));
}

BOOST_AUTO_TEST_CASE(allEnginesDyingEndsEveryStreamWithAnError)
{
    // All engines die at once, and nobody is left to carry the streams on. Each caller must be told, in the stream, that it failed.
    auto counts = streamThrough([this] {
        for (std::size_t i = 0; i < 3; ++i) {
            engine(i).process->kill();
        }
    });
    BOOST_TEST(counts[StreamOutcome::Misleading] == 0);
    BOOST_TEST(counts[StreamOutcome::Broken] == 0);
    BOOST_TEST(counts[StreamOutcome::EndedWithError] > 0);
    for (std::size_t i = 0; i < 3; ++i) {
        restartEngine(i);
    }
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(waitFor(patience, [&] { return judgeStream(call(i, chat(1)), 1) == StreamOutcome::Whole; }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
