#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "load_driver.h"

using namespace Lovageloft;
namespace data = boost::unit_test::data;

namespace
{

constexpr double engineRate = 10'000;
constexpr double capacity = 3 * engineRate;
constexpr double runTime = 600; // Seconds; long enough for every caller's retries.

std::vector<FakeEngine> threeEngines()
{
    return {{.rate = engineRate}, {.rate = engineRate}, {.rate = engineRate}};
}

/// Five teams that send half short and half long requests, in total `load` times the capacity of the engines.
void addEvenDemand(LoadDriver &driver, double load, double from = 0, double until = 60)
{
    for (std::uint32_t team = 1; team <= 5; ++team) {
        for (const std::int64_t cost : {200, 10'000}) {
            driver.add({.team = team, .tokensPerSecond = load * capacity / 10, .cost = cost, .from = from, .until = until});
        }
    }
}

/// Logs the figures for docs/design/queueing.md; printed with --log_level=message.
void logOutcome(std::string_view label, const Outcome &outcome)
{
    BOOST_TEST_MESSAGE(label << ": offered " << outcome.offered << ", served " << outcome.served << ", tokens " << outcome.servedTokens << ", refused "
                             << outcome.refused << ", expired " << outcome.expired << ", returned " << outcome.returned << ", unserved "
                             << outcome.returnedUnserved << ", wait p50 " << outcome.wait(0.5) << " p95 " << outcome.wait(0.95) << " s");
}

std::int64_t goodput(double load, bool refusedCallersRetry, std::uint64_t seed)
{
    LoadDriver driver(threeEngines(), seed);
    driver.refusedCallersRetry = refusedCallersRetry;
    driver.measuredFrom = 10;
    driver.measuredUntil = 60;
    addEvenDemand(driver, load);
    driver.run(runTime);
    logOutcome("load " + std::to_string(load), driver.outcome());
    return driver.outcome().servedTokens;
}

double ratio(std::int64_t count, std::int64_t of)
{
    return static_cast<double>(count) / static_cast<double>(std::max<std::int64_t>(of, 1));
}

} // namespace

BOOST_AUTO_TEST_SUITE(QueueingUnderLoadTest)

BOOST_DATA_TEST_CASE(goodputHoldsAboveSaturation, data::make({false, true}) * data::make(seeds(3)), refusedCallersRetry, seed)
{
    // Demand doubles while the capacity stays the same. If the queue admitted more than can be served in time, requests would expire
    // after waiting, and goodput would fall although the engines are busy.
    const std::int64_t atSaturation = goodput(1, refusedCallersRetry, seed);
    for (const double load : {2.0, 4.0}) {
        BOOST_TEST_CONTEXT("load " << load)
        {
            BOOST_TEST(ratio(goodput(load, refusedCallersRetry, seed), atSaturation) >= 0.95);
        }
    }
}

BOOST_DATA_TEST_CASE(belowSaturationNothingIsRefused, data::make({0.5, 0.8, 0.9}) * data::make(seeds(3)), load, seed)
{
    LoadDriver driver(threeEngines(), seed);
    addEvenDemand(driver, load);
    driver.run(runTime);
    BOOST_TEST(driver.outcome().refused == 0);
    BOOST_TEST(driver.outcome().expired == 0);
    BOOST_TEST(driver.outcome().served == driver.outcome().offered);
}

BOOST_DATA_TEST_CASE(teamsWithinTheirShareAreServedDuringAFlood, data::make({200, 2'000, 60'000}) * data::make(seeds(3)), floodCost, seed)
{
    // One team sends ten times its share. Without fair queueing the others would be refused or wait behind it, although they use only
    // half of their shares.
    LoadDriver driver(threeEngines(), seed);
    const double fairShare = capacity / 5;
    driver.add({.team = 1, .tokensPerSecond = 10 * fairShare, .cost = floodCost});
    for (std::uint32_t team = 2; team <= 5; ++team) {
        driver.add({.team = team, .tokensPerSecond = fairShare / 4, .cost = 200});
        driver.add({.team = team, .tokensPerSecond = fairShare / 4, .cost = 2'000});
    }
    driver.run(runTime);
    for (std::uint32_t team = 2; team <= 5; ++team) {
        const Outcome outcome = driver.outcome(team);
        logOutcome("during a flood", outcome);
        BOOST_TEST(outcome.refused == 0);
        BOOST_TEST(outcome.expired == 0);
        // A prompt of 60,000 tokens occupies one engine for 6 s, but not all three engines for long.
        BOOST_TEST(outcome.wait(0.95) < 60'000 / engineRate);
    }
}

BOOST_DATA_TEST_CASE(overloadedTeamsGetEqualShares, data::make(seeds(5)), seed)
{
    // Each team sends twice its share, with a different mix of costs. A queue that counted requests instead of tokens would give
    // nearly all capacity to the team with the longest prompts.
    LoadDriver driver(threeEngines(), seed);
    driver.measuredFrom = 10;
    driver.measuredUntil = 110;
    const std::vector<std::vector<std::int64_t>> mixes = {{200}, {2'000}, {20'000}, {200, 20'000}, {200, 2'000}};
    for (std::uint32_t team = 1; team <= mixes.size(); ++team) {
        const std::vector<std::int64_t> &costs = mixes[team - 1];
        for (const std::int64_t cost : costs) {
            driver.add({.team = team, .tokensPerSecond = 2 * capacity / 5 / static_cast<double>(costs.size()), .cost = cost, .until = 110});
        }
    }
    driver.run(runTime);
    const std::int64_t mean = driver.outcome().servedTokens / 5;
    for (std::uint32_t team = 1; team <= 5; ++team) {
        BOOST_TEST_CONTEXT("team " << team)
        {
            logOutcome("team", driver.outcome(team));
            BOOST_TEST(ratio(driver.outcome(team).servedTokens, mean) >= 0.9);
            BOOST_TEST(ratio(driver.outcome(team).servedTokens, mean) <= 1.1);
        }
    }
}

BOOST_DATA_TEST_CASE(shortWorkDoesNotStarveLongWork, data::make(seeds(3)), seed)
{
    // A team floods its short lane with ten times the engines' capacity and sends long requests too; another team sends only long
    // ones. If short requests were not limited to their lane's credit, no long request would ever be served.
    LoadDriver driver(threeEngines(), seed);
    driver.measuredFrom = 10;
    driver.measuredUntil = 60;
    driver.add({.team = 1, .tokensPerSecond = 10 * capacity, .cost = 200});
    driver.add({.team = 1, .tokensPerSecond = capacity, .cost = 10'000});
    driver.add({.team = 2, .tokensPerSecond = capacity, .cost = 10'000});
    driver.run(runTime);
    const std::int64_t all = driver.outcome().servedTokens;
    BOOST_TEST(ratio(driver.outcome(2).servedTokens, all) >= 0.45);
    BOOST_TEST(ratio(driver.outcome(1, 10'000).servedTokens, all) >= 0.2);
    BOOST_TEST(ratio(driver.outcome(1, 200).servedTokens, all) >= 0.2);
}

BOOST_DATA_TEST_CASE(callersThatHonourRetryAfterAreServed, data::make({1.2, 1.5, 2.0, 4.0}), load)
{
    // Demand is above capacity, and each refused caller retries at the time given by Retry-After, up to a second late. If Retry-After
    // were the same for all or too early, callers would be refused twice.
    Outcome sum;
    for (const std::uint64_t seed : seeds(3)) {
        LoadDriver driver(threeEngines(), seed);
        addEvenDemand(driver, load);
        driver.run(runTime);
        sum += driver.outcome();
    }
    logOutcome("retries", sum);
    BOOST_TEST(sum.returned > 1'000);
    BOOST_TEST(ratio(sum.returnedUnserved, sum.returned) <= 0.01);
    BOOST_TEST(ratio(sum.expired, sum.offered) <= 0.005);
}

BOOST_AUTO_TEST_CASE(aMixOfLongAndShortRequestsAtTwiceSaturation)
{
    // Prompts of 60,000 tokens occupy an engine for 6 s each, prompts of 200 for 20 ms, and total demand is twice the capacity.
    // Predictions from a few long prompts are coarse; users would notice being refused again.
    Outcome sum;
    for (const std::uint64_t seed : seeds(3)) {
        LoadDriver driver(threeEngines(), seed);
        driver.measuredFrom = 10;
        driver.measuredUntil = 110;
        for (std::uint32_t team = 1; team <= 5; ++team) {
            driver.add({.team = team, .tokensPerSecond = capacity / 5, .cost = 200, .until = 110});
            driver.add({.team = team, .tokensPerSecond = capacity / 5, .cost = 60'000, .until = 110});
        }
        driver.run(3 * runTime);
        logOutcome("short", driver.outcome(0, 200));
        logOutcome("long", driver.outcome(0, 60'000));
        sum += driver.outcome();
    }
    BOOST_TEST(ratio(sum.servedTokens, static_cast<std::int64_t>(3 * 100 * capacity)) >= 0.95);
    BOOST_TEST(ratio(sum.returnedUnserved, sum.returned) <= 0.05);
    BOOST_TEST(ratio(sum.expired, sum.offered) <= 0.01);
}

BOOST_DATA_TEST_CASE(aBurstAfterALongIdleTimeIsServed, data::make(seeds(3)), seed)
{
    // No requests arrive for 60 hours, then three times the capacity for 20 s. If idle time counted as a low rate, the burst would be
    // refused at once; if filling the empty windows counted as a high rate, it would be admitted and expire.
    constexpr double burstStart = 60 * 3600;
    LoadDriver driver(threeEngines(), seed);
    addEvenDemand(driver, 1.2, 0, 30);
    addEvenDemand(driver, 3, burstStart, burstStart + 20);
    driver.measuredFrom = burstStart + 2;
    driver.measuredUntil = burstStart + 22;
    driver.run(burstStart + runTime);
    const Outcome outcome = driver.outcome();
    logOutcome("all", outcome);
    BOOST_TEST(ratio(outcome.servedTokens, static_cast<std::int64_t>(20 * capacity)) >= 0.95);
    BOOST_TEST(ratio(outcome.expired, outcome.offered) <= 0.01);
    BOOST_TEST(outcome.served == outcome.offered);
}

BOOST_DATA_TEST_CASE(aSlowEngineCostsOnlyItsOwnCapacity, data::make(seeds(3)), seed)
{
    // One engine of three slows down to a tenth of its speed at second 20, while the queue holds the work of three engines for seven
    // seconds. With a fixed window requests would pile up at the slow engine and wait for minutes while two engines have room. Only a
    // few requests that are queued already may expire.
    LoadDriver driver(threeEngines(), seed);
    driver.measuredFrom = 30;
    driver.measuredUntil = 90;
    addEvenDemand(driver, 1.5, 0, 90);
    driver.schedule(20, [&driver] { driver.engines()[0].rate = engineRate / 10; });
    driver.schedule(60, [&driver] { BOOST_TEST(driver.engines()[0].window.size() <= 2); });
    driver.run(runTime);
    const Outcome outcome = driver.outcome();
    logOutcome("all", outcome);
    BOOST_TEST(ratio(outcome.servedTokens, static_cast<std::int64_t>(60 * 2.1 * engineRate)) >= 0.9);
    BOOST_TEST(ratio(outcome.expired, outcome.offered) <= 0.03);
}

BOOST_DATA_TEST_CASE(theLossOfEnginesLeavesFewRequestsToExpire, data::make(seeds(3)), seed)
{
    // Two engines of three are lost at second 20 while demand is near capacity, and the queue's rate is scaled. At the old rate it
    // would admit three times what can be served, and callers would wait ten seconds without an answer. Only a few requests that are
    // queued already may expire.
    LoadDriver driver(threeEngines(), seed);
    addEvenDemand(driver, 0.9, 0, 60);
    driver.schedule(20, [&driver] {
        driver.engines()[0].model = 9;
        driver.engines()[1].model = 9;
        driver.queue.scaleCapacity(ModelId{0}, 1.0 / 3);
    });
    driver.run(runTime);
    const Outcome outcome = driver.outcome();
    logOutcome("all", outcome);
    BOOST_TEST(ratio(outcome.expired, outcome.offered) <= 0.03);
    BOOST_TEST(outcome.served == outcome.offered);
}

BOOST_AUTO_TEST_CASE(aBusyModelDoesNotDelayOthers)
{
    // Demand for model 1 is ten times the capacity of its engine, demand for model 2 is low. In a common queue the requests for model 2
    // would wait behind those for model 1.
    LoadDriver driver({{.rate = engineRate, .model = 1}, {.rate = engineRate, .model = 2}}, 1);
    driver.add({.team = 1, .tokensPerSecond = 10 * engineRate, .cost = 2'000, .model = 1});
    driver.add({.team = 1, .tokensPerSecond = engineRate / 10, .cost = 200, .model = 2});
    driver.run(runTime);
    BOOST_TEST(driver.outcome(1, 200).refused == 0);
    BOOST_TEST(driver.outcome(1, 200).wait(1) < 0.2);
}

BOOST_AUTO_TEST_SUITE_END()
