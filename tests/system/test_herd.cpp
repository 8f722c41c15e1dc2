#include <array>
#include <csignal>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr int tokens = 5;
constexpr std::size_t herdSize = 3;
/// What "at once" may last on a busy machine.
constexpr std::chrono::seconds restartLimit{5};

/// Calls to the store so far; a waiting watch counts as one.
std::int64_t storeCalls(SystemFixture &system)
{
    const std::string record = SystemFixture::record(system.store());
    std::int64_t calls = 0;
    for (const std::string_view kind : {"range", "put", "txn", "deleterange", "watch", "grant", "keepalive", "revoke"}) {
        calls += std::max<std::int64_t>(0, numberIn(record, kind));
    }
    return calls;
}

struct ServiceSystem : SystemFixture
{
    ServiceSystem()
        : SystemFixture({.services = 1})
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(HerdSystemTest)

BOOST_FIXTURE_TEST_CASE(hostsThatRestartTogetherServeAtOnceAndSpareTheStore, SystemFixture)
{
    // All hosts are replaced at once, none can ask a neighbour, and each goes to the store. A caller notices refusals for as long as
    // that takes; if each host asked over and over, the store's few calls a second would not last for a fleet.
    for (std::size_t i = 0; i < hostCount(); ++i) {
        host(i).sendSignal(SIGKILL);
    }
    const std::int64_t before = storeCalls(*this);
    for (std::size_t i = 0; i < hostCount(); ++i) {
        host(i).kill();
    }
    const TimePoint start = BootClock::now();
    for (std::size_t i = 0; i < hostCount(); ++i) {
        restartHost(i);
    }
    std::array<Duration, herdSize> took{};
    {
        std::array<std::jthread, herdSize> callers;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            callers[i] = std::jthread([&, i] {
                const bool serves = waitFor(restartLimit, [&] { return judgeStream(call(i, chat(tokens)), tokens) == StreamOutcome::Whole; });
                took[i] = serves ? BootClock::now() - start : Duration::max();
            });
        }
    }
    const std::int64_t herdCalls = storeCalls(*this) - before;
    for (const Duration duration : took) {
        BOOST_TEST_MESSAGE("first answer " << toSeconds(duration) << " s after the start");
        BOOST_TEST(toSeconds(duration) < toSeconds(restartLimit));
    }
    BOOST_TEST_MESSAGE("calls to the store: " << static_cast<double>(herdCalls) / herdSize << " a host");
    // Some for the start and one every 1.5 s after it.
    constexpr std::int64_t mostHerdCalls = 20;
    BOOST_TEST(herdCalls <= mostHerdCalls * static_cast<std::int64_t>(herdSize));
}

BOOST_FIXTURE_TEST_CASE(aHostThatJustStartedTellsNoCallerThatItsKeyIsUnknown, ServiceSystem)
{
    // A host is replaced, and callers reach it in the moment before it has the whole configuration. If it answered for what it does
    // not know yet, a caller with a good key would be told that the key or the path does not exist, and give up.
    constexpr int restarts = 5;
    for (int i = 0; i < restarts; ++i) {
        restartHost(0);
        const auto isServed = [this] {
            const CallerAnswer answer = call(0, chat(tokens));
            const bool isTruthful = answer.status == 200 || answer.code() == static_cast<int>(ResultCode::NotFresh);
            BOOST_TEST(isTruthful, answer.head << answer.body);
            const CallerAnswer page = call(0, post("/archive/pages", "{}"));
            BOOST_TEST((page.status == 200 || page.code() == static_cast<int>(ResultCode::NotFresh)), page.head << page.body);
            return answer.status == 200;
        };
        BOOST_TEST(waitFor(restartLimit, isServed));
        BOOST_TEST(isReady(0));
    }
}

BOOST_FIXTURE_TEST_CASE(hostsThatRestartWhileAnotherIsGoneServeAgain, SystemFixture)
{
    // One host is gone for good and still listed when the others are replaced together. They can't know whether it still spends its
    // share under an older configuration, and wait the freshness window out; a caller notices refusals for three seconds.
    host(2).kill();
    restartHost(0);
    restartHost(1);
    const TimePoint start = BootClock::now();
    for (std::size_t i = 0; i < 2; ++i) {
        BOOST_TEST(waitFor(patience, [&] { return judgeStream(call(i, chat(tokens)), tokens) == StreamOutcome::Whole; }));
        BOOST_TEST_MESSAGE("with one host gone, first answer " << toSeconds(BootClock::now() - start) << " s after the start");
        BOOST_TEST(isReady(i));
    }
}

BOOST_FIXTURE_TEST_CASE(anIdleHostCallsTheStoreAboutTwiceASecondAtMost, SystemFixture)
{
    // The store counts each call, and its rate does not grow with the fleet. An idle host that polled it would be noticed when a
    // larger fleet's operators can't commit tickets any more.
    constexpr std::chrono::seconds span{10};
    const std::int64_t before = storeCalls(*this);
    const TimePoint begin = BootClock::now();
    std::this_thread::sleep_for(span);
    const auto calls = static_cast<double>(storeCalls(*this) - before);
    const double rate = calls / toSeconds(BootClock::now() - begin) / static_cast<double>(hostCount());
    BOOST_TEST_MESSAGE("calls to the store by an idle host: " << rate << " a second");
    BOOST_TEST(rate <= 2.0);
}

BOOST_AUTO_TEST_SUITE_END()
