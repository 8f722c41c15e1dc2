#include <initializer_list>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr int tokens = 5;
constexpr std::string_view down = R"({"down":true})";
/// What "at once" may last on a busy machine.
constexpr std::chrono::seconds restartLimit{5};

/// What one caller saw that called a host over and over.
struct Series
{
    int whole = 0;
    int other = 0;
    CallerAnswer firstOther;
};

void callOnce(const SystemFixture &system, std::size_t host, Series &series)
{
    CallerAnswer answer = system.call(host, SystemFixture::chat(tokens));
    if (judgeStream(answer, tokens) == StreamOutcome::Whole) {
        ++series.whole;
        return;
    }
    if (series.other++ == 0) {
        series.firstOther = std::move(answer);
    }
}

Series callUntil(const SystemFixture &system, std::size_t host, TimePoint end)
{
    constexpr std::chrono::milliseconds pause{20};
    Series series;
    while (BootClock::now() < end) {
        callOnce(system, host, series);
        std::this_thread::sleep_for(pause);
    }
    return series;
}

bool isNotFresh(const CallerAnswer &answer)
{
    return answer.code() == static_cast<int>(ResultCode::NotFresh) && answer.body.find(R"("run":"not_run")") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreOutageSystemTest)

BOOST_FIXTURE_TEST_CASE(allHostsServeThroughAnOutageAndARestartedOneServesAtOnce, SystemFixture)
{
    // The store is down for fifteen seconds, five times the time for which its last word counts. The hosts vouch for each other
    // instead, so that callers notice nothing. One of them is replaced meanwhile and knows nothing at first; unless it learns from
    // its neighbours, the balancer sends callers to a host that refuses them until the store is back.
    constexpr std::chrono::seconds outage{15};
    constexpr std::chrono::seconds restartAfter{6};
    planFault(store(), down);
    const TimePoint begin = BootClock::now();
    Series first;
    Series second;
    std::jthread firstCaller([&] { first = callUntil(*this, 0, begin + outage); });
    std::jthread secondCaller([&] { second = callUntil(*this, 1, begin + outage); });
    const Series before = callUntil(*this, 2, begin + restartAfter);
    host(2).kill();
    const TimePoint restart = BootClock::now();
    restartHost(2);
    const bool serves = waitFor(restartLimit, [&] { return judgeStream(call(2, chat(tokens)), tokens) == StreamOutcome::Whole; });
    const Duration took = BootClock::now() - restart;
    const Series after = callUntil(*this, 2, begin + outage);
    firstCaller.join();
    secondCaller.join();
    BOOST_TEST_MESSAGE("restarted host served " << toSeconds(took) << " s after its start; answers " << first.whole << ", " << second.whole << ", "
                                                << before.whole << " before and " << after.whole << " after the restart");
    BOOST_TEST(serves);
    for (const Series *series : std::initializer_list<const Series *>{&first, &second, &before, &after}) {
        BOOST_TEST(series->whole > 0);
        BOOST_TEST(series->other == 0, series->firstOther.head << series->firstOther.body);
    }
    planFault(store(), "{}");
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(isReady(i));
    }
}

BOOST_FIXTURE_TEST_CASE(aHostThatReachesNobodyStopsServingAndSaysSo, SystemFixture)
{
    // A host loses the store and both other hosts. For all it knows, keys were withdrawn since; if it went on serving, a withdrawn
    // key would work there for as long as it is cut off. It refuses new work truthfully and fails its health check, so that the
    // balancer leaves it out, and comes back by itself.
    constexpr std::chrono::seconds limit{8};
    planFault(store(), down);
    host(1).freeze();
    host(2).freeze();
    const TimePoint cutOff = BootClock::now();
    CallerAnswer answer;
    BOOST_TEST(waitFor(limit,
                       [&] {
                           answer = call(0, chat(tokens));
                           return isNotFresh(answer);
                       }),
               answer.head << answer.body);
    BOOST_TEST_MESSAGE("refused " << toSeconds(BootClock::now() - cutOff) << " s after it was cut off");
    BOOST_TEST(!isReady(0));
    BOOST_TEST(isNotFresh(call(0, chat(tokens))));
    host(1).resume();
    BOOST_TEST(waitFor(patience, [&] { return judgeStream(call(0, chat(tokens)), tokens) == StreamOutcome::Whole; }));
    BOOST_TEST(isReady(0));
    host(2).resume();
    BOOST_TEST(waitFor(patience, [&] { return judgeStream(call(2, chat(tokens)), tokens) == StreamOutcome::Whole; }));
}

BOOST_FIXTURE_TEST_CASE(aStoreThatTakesCallsAndSaysNothingDoesNotStopService, SystemFixture)
{
    // The store's connections go silent: calls are taken and never answered. A host that waited for them would answer its callers
    // late or not at all.
    planFault(store(), R"({"freeze":true})");
    constexpr std::chrono::seconds silence{8};
    const TimePoint end = BootClock::now() + silence;
    for (std::size_t i = 0; BootClock::now() < end; i = (i + 1) % hostCount()) {
        const CallerAnswer answer = call(i, chat(tokens));
        BOOST_TEST_REQUIRE(judgeStream(answer, tokens) == StreamOutcome::Whole, answer.head << answer.body);
    }
    planFault(store(), "{}");
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(waitFor(patience, [&] { return isReady(i); }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
