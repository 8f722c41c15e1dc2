#include <array>
#include <atomic>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr std::size_t callerCount = 6;
constexpr int longTokens = 1'500;
constexpr int tokens = 10;
constexpr int okStatus = 200;
/// What "a few seconds" may last.
constexpr std::chrono::seconds leavingLimit{3};

struct TargetSystem : SystemFixture
{
    TargetSystem()
        : SystemFixture({.services = 2, .engineArguments = {"--token-delay-us", "5000"}})
    {
    }

    std::int64_t startedAt(std::size_t engineIndex)
    {
        return numberIn(record(engine(engineIndex)), "started");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSystemTest, TargetSystem)

BOOST_AUTO_TEST_CASE(aLeavingEngineGetsNoNewWorkAndCompletesItsStreams)
{
    // An operator takes an engine out of service while callers stream. New work sent to it after a few seconds would be cut when
    // its machine goes; its running streams cut at once would be seen as errors.
    std::array<StreamOutcome, callerCount> longStreams{};
    std::atomic<bool> isEnding{false};
    std::atomic<int> whole{0};
    std::atomic<int> other{0};
    {
        std::array<std::jthread, callerCount> longCallers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            longCallers[i] = std::jthread([&, i] { longStreams[i] = judgeStream(call(i % hostCount(), chat(longTokens)), longTokens); });
        }
        BOOST_TEST(waitFor(patience, [this] { return startedAt(0) + startedAt(1) >= static_cast<std::int64_t>(hostCount() + callerCount); }));
        std::array<std::jthread, callerCount> shortCallers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            shortCallers[i] = std::jthread([&, i] {
                while (!isEnding) {
                    ++(judgeStream(call(i % hostCount(), chat(tokens)), tokens) == StreamOutcome::Whole ? whole : other);
                }
            });
        }
        TargetConfiguration leaving = engineTarget(0);
        leaving.state = TargetState::Leaving;
        const TimePoint committed = BootClock::now();
        const std::int64_t sequence = applyTicket(2, {leaving});
        BOOST_TEST(sequence == 2);
        BOOST_TEST(waitFor(leavingLimit, [&] { return isInForce(0, sequence) && isInForce(1, sequence) && isInForce(2, sequence); }));
        std::this_thread::sleep_for(committed + leavingLimit - BootClock::now());
        const std::int64_t before = startedAt(0);
        const int wholeBefore = whole;
        BOOST_TEST(waitFor(patience, [&] { return whole >= wholeBefore + 60; }));
        BOOST_TEST(startedAt(0) == before);
        isEnding = true;
    }
    for (const StreamOutcome outcome : longStreams) {
        BOOST_TEST(outcome == StreamOutcome::Whole);
    }
    BOOST_TEST(other == 0);
    BOOST_TEST_MESSAGE(whole << " short streams whole");
}

BOOST_AUTO_TEST_CASE(aLeavingServiceGetsNoNewWork)
{
    // A service is taken out of service; a correction sent to it afterwards would be lost with its machine.
    const auto page = post("/archive/pages", "{}");
    for (std::size_t i = 0; i < 2 * hostCount(); ++i) {
        BOOST_TEST(call(i % hostCount(), page).status == okStatus);
    }
    TargetConfiguration leaving = serviceTarget(0);
    leaving.state = TargetState::Leaving;
    const std::int64_t sequence = applyTicket(0, {leaving});
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(waitFor(leavingLimit, [&] { return isInForce(i, sequence); }));
    }
    const std::int64_t before = numberIn(record(service(0)), "received");
    BOOST_TEST(before > 0);
    for (std::size_t i = 0; i < 10 * hostCount(); ++i) {
        BOOST_TEST(call(i % hostCount(), page).status == okStatus);
    }
    BOOST_TEST(numberIn(record(service(0)), "received") == before);
}

BOOST_AUTO_TEST_CASE(noTargetSeesAKey)
{
    // A target that kept or logged a caller's key could be used to call in the team's name.
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(call(i, post("/archive/pages", "{}")).status == okStatus);
        BOOST_TEST(call(i, post("/archive/corrections/1", "{}", deskKey, "Idempotency-Key: k" + std::to_string(i) + "\r\n")).status == okStatus);
        BOOST_TEST(judgeStream(call(i, chat(tokens)), tokens) == StreamOutcome::Whole);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        BOOST_TEST(record(engine(i)).find(R"("saw_authorization":false)") != std::string::npos);
        BOOST_TEST(record(service(i)).find(R"("saw_authorization":false)") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
