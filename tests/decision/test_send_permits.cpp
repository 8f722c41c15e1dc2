#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/decision/permit_model.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr double allowedExcess = 2;

/// The users' bound, which also holds while two homes of one target believe to be the only ones.
constexpr double contractFactor = 1.5;
constexpr double contractExcess = 5;

constexpr double minUse = 0.9;
constexpr double windowSeconds = 4;

double allowed(double rate)
{
    return rate * windowSeconds + allowedExcess;
}

double allowedByContract(double rate)
{
    return contractFactor * rate * windowSeconds + contractExcess;
}

/// Long enough to count some 36 requests at least.
Duration countedTime(double rate)
{
    return fromSeconds(std::max(12.0, 36 / rate));
}

/// Lets targets state a rate after a second in which they are free, and plays 2 s and the time in which requests are counted.
PermitModel play(const PermitModel::Options &options, double rate)
{
    PermitModel model(options);
    model.run(1s);
    for (std::size_t target = 0; target < options.targets; ++target) {
        model.state(target, rate);
    }
    model.run(2s + countedTime(rate));
    return model;
}

constexpr std::size_t fleets[] = {1, 2, 9, 90, 295};
constexpr double rates[] = {0.3, 2.1, 25};

} // namespace

BOOST_AUTO_TEST_SUITE(SendPermitsTest)

// Guards against hosts that together exceed a stated rate, and against a rate of which little is used.
BOOST_DATA_TEST_CASE(aStatedRateIsUsedAndNotExceeded, boost::unit_test::data::make(fleets) * boost::unit_test::data::make(rates), hosts, rate)
{
    const PermitModel model = play({.hosts = hosts, .targets = 2, .demand = 4 * rate + 4, .seed = hosts}, rate);
    for (std::size_t target = 0; target < 2; ++target) {
        BOOST_TEST(model.mostInWindow(target) <= allowed(rate));
        BOOST_TEST(static_cast<double>(model.arrivals(target, 3s)) >= minUse * rate * toSeconds(countedTime(rate)) - 1);
    }
}

// Guards against a rate that is divided evenly, so that hosts with requests may not use what hosts without any leave.
BOOST_AUTO_TEST_CASE(fewHostsWithRequestsUseTheWholeRate)
{
    for (const std::size_t hosts : {9U, 90U}) {
        const PermitModel model = play({.hosts = hosts, .targets = 1, .demand = 12, .hostsWithDemand = 2.0 / static_cast<double>(hosts)}, 2.1);
        BOOST_TEST(model.mostInWindow(0) <= allowed(2.1));
        BOOST_TEST(static_cast<double>(model.arrivals(0, 3s)) >= minUse * 2.1 * 12);
    }
}

// Guards against a host that hears of a limit late, as the message was lost: it learns it from its own next answer.
BOOST_AUTO_TEST_CASE(allHostsKnowALimitSoon)
{
    BOOST_TEST((play({.hosts = 9, .targets = 1, .demand = 40}, 2.1).knownAfter(0) <= 200ms));
    BOOST_TEST((play({.hosts = 295, .targets = 1, .demand = 300}, 2.1).knownAfter(0) <= 500ms));
}

// Guards against more requests than stated while messages are lost, delayed or doubled, and hosts pause, restart or are cut off.
BOOST_AUTO_TEST_CASE(faultsDoNotExceedTheContract)
{
    constexpr std::uint64_t seeds = 60;
    constexpr double rate = 2.1;
    std::size_t worst = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        Random random(seed);
        PermitModel::Options options{.hosts = 9, .targets = 2, .demand = 12, .lossRate = 0.05, .doubledRate = 0.05, .seed = seed};
        PermitModel model(options);
        model.run(500ms);
        model.state(0, rate);
        model.state(1, rate);
        for (int i = 0; i < 10; ++i) {
            const std::size_t host = randomBelow(random, options.hosts);
            const Duration time = 100ms + randomUpTo(random, 3s);
            model.disturb(host, time, randomBelow(random, PermitModel::faultKinds));
            model.run(randomUpTo(random, 2s));
        }
        for (std::size_t target = 0; target < options.targets; ++target) {
            worst = std::max(worst, model.mostInWindow(target));
            BOOST_TEST(model.mostInWindow(target) <= allowedByContract(rate), "seed " << seed << ": " << model.mostInWindow(target));
        }
    }
    BOOST_TEST_MESSAGE("most requests in a window beside faults: " << worst << ", allowed " << allowedByContract(rate));
}

// Guards against a target that gets nothing any more after both hosts that issue its permits have ended.
BOOST_AUTO_TEST_CASE(aTargetIsUsedAgainAfterItsHomesHaveEnded)
{
    PermitModel model({.hosts = 9, .targets = 8, .demand = 12});
    for (std::size_t target = 0; target < 8; ++target) {
        model.state(target, 2.1);
    }
    model.run(4s);
    for (std::size_t host = 0; host < 5; ++host) {
        model.restart(host, 30s);
    }
    model.run(4s);
    const Duration from = model.elapsed();
    model.run(8s);
    for (std::size_t target = 0; target < 8; ++target) {
        BOOST_TEST(static_cast<double>(model.arrivals(target, from)) >= 0.8 * 2.1 * 8 * 4 / 9);
        BOOST_TEST(model.mostInWindow(target) <= allowedByContract(2.1));
    }
}

// Guards against messages that grow with the number of hosts while all targets of a large fleet state limits at once.
BOOST_AUTO_TEST_CASE(manyLimitsCostFewMessages)
{
    constexpr std::size_t targets = 122;
    PermitModel model({.hosts = 295, .targets = targets, .demand = 8});
    model.run(200ms);
    for (std::size_t target = 0; target < targets; ++target) {
        model.state(target, 2.1);
    }
    model.run(1500ms);
    const std::size_t before = model.mostMessages();
    constexpr double seconds = 2;
    model.run(2s);
    constexpr double maxBytesPerSecond = 5'000;
    constexpr double messageBytes = 100; ///< A permit request or reply is shorter.
    BOOST_TEST(static_cast<double>(model.mostMessages() - before) / seconds * messageBytes <= maxBytesPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()
