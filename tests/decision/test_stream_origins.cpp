#define BOOST_TEST_MODULE stream_origins
#include <algorithm>
#include <cstdlib>
#include <numeric>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/decision/stream_model.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// Of the streams that are resumed while targets of their version serve, the share that has to go on.
constexpr double minShare = 0.95;

/// Time within which 99 of 100 streams' versions have to be known.
constexpr Duration maxLookupTime = 20ms;

Duration percentile99(std::vector<Duration> times)
{
    std::sort(times.begin(), times.end());
    return times.empty() ? Duration::zero() : times[times.size() * 99 / 100];
}

double shareGoneOn(const StreamModel::Counts &counts)
{
    const std::size_t all = counts.wentOn + counts.refused;
    return all > 0 ? static_cast<double>(counts.wentOn) / static_cast<double>(all) : 1;
}

/// The number of schedules, as STREAM_SCHEDULES says, from STREAM_FIRST_SEED on.
std::size_t numberFrom(const char *name, std::size_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): read before any thread starts.
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

std::vector<std::uint64_t> schedules()
{
    std::vector<std::uint64_t> seeds(numberFrom("STREAM_SCHEDULES", 1'000));
    std::iota(seeds.begin(), seeds.end(), numberFrom("STREAM_FIRST_SEED", 1));
    return seeds;
}

/// Plays upgrades, kills and pauses that follow from the seed for some ten seconds.
void playSchedule(StreamModel &model)
{
    constexpr int steps = 14;
    int newest = 1;
    for (int step = 0; step < steps; ++step) {
        switch (model.random(7)) {
        case 0:
            model.list("v" + std::to_string(++newest), true);
            break;
        case 1:
            model.list("v" + std::to_string(1 + model.random(static_cast<std::size_t>(newest))), false);
            break;
        case 2:
            model.list("v" + std::to_string(1 + model.random(static_cast<std::size_t>(newest))), true);
            break;
        case 3:
            model.pause(model.random(model.hostCount()), 100ms * (1 + static_cast<int>(model.random(30))));
            break;
        case 4: {
            std::vector<std::size_t> all(model.hostCount());
            std::iota(all.begin(), all.end(), 0);
            model.kill(model.random(4) == 0 ? all : std::vector<std::size_t>{model.random(model.hostCount()), model.random(model.hostCount())}, 600ms);
            break;
        }
        default:
            model.kill({model.random(model.hostCount())}, 600ms);
            break;
        }
        model.run(50ms * (1 + static_cast<int>(model.random(30))));
    }
    model.run(2s);
}

struct HostCount
{
    std::size_t hosts;
    double streamsPerSecond;
};

std::ostream &operator<<(std::ostream &out, const HostCount &count)
{
    return out << count.hosts << " hosts";
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamOriginsTest)

// Guards against streams that go on at another version than the one that began them, whatever is lost, doubled or late and whoever is killed.
BOOST_DATA_TEST_CASE(noScheduleJoinsTwoVersions, boost::unit_test::data::make(schedules()), seed)
{
    StreamModel::Options options;
    options.seed = seed;
    options.hosts = 2 + seed % 8;
    options.lossRate = seed % 3 == 0 ? 0.1 : 0;
    options.doubledRate = seed % 2 == 0 ? 0.1 : 0;
    options.lateRate = seed % 5 == 0 ? 0.05 : 0;
    StreamModel model(options);
    playSchedule(model);
    BOOST_TEST(model.counts().joined == 0U);
    BOOST_TEST(model.counts().begun > 0U);
}

// Guards against streams that can't be resumed though targets of their version serve, as hosts are killed one after the other, and against slow or
// talkative ways to know their versions.
BOOST_DATA_TEST_CASE(streamsOfKilledHostsGoOn,
                     boost::unit_test::data::make({HostCount{9, 60}, HostCount{90, 900}, HostCount{295, 3'000}}) * boost::unit_test::data::xrange(2),
                     count,
                     seed)
{
    StreamModel::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.hosts = count.hosts;
    options.streamsPerSecond = count.streamsPerSecond;
    options.lossRate = 0.01;
    StreamModel model(options);
    model.run(1s);
    model.list("v2", true);
    model.run(1s);
    model.list("v3", true);
    model.run(1s);
    constexpr double maxRecordBytes = 60; // In large fleets.
    constexpr std::size_t largeFleet = 90;
    const StreamModel::Counts &counts = model.counts();
    BOOST_TEST((model.hostCount() < largeFleet || static_cast<double>(counts.recordBytes) <= maxRecordBytes * static_cast<double>(counts.begun)));
    for (int i = 0; i < 6; ++i) {
        std::vector<std::size_t> killed(1 + model.hostCount() / 90);
        std::generate(killed.begin(), killed.end(), [&model] { return model.random(model.hostCount()); });
        model.kill(killed, 600ms);
        model.run(800ms);
    }
    model.run(2s);
    BOOST_TEST(counts.joined == 0U);
    BOOST_TEST(counts.resumptions > 0U);
    BOOST_TEST(shareGoneOn(counts) >= minShare);
    BOOST_TEST((percentile99(counts.lookupTimes) <= maxLookupTime));
}

// Guards against hosts that refuse streams after a restart of all, though the service has had one version only, and against more records than one to each
// home.
BOOST_AUTO_TEST_CASE(streamsOfOneVersionGoOnAfterARestartOfAllHosts)
{
    constexpr std::size_t recordBytes = 23;
    constexpr std::size_t homes = 3;
    StreamModel model({});
    model.run(2s);
    BOOST_TEST(model.counts().recordBytes == homes * recordBytes * model.counts().begun);
    std::vector<std::size_t> all(model.hostCount());
    std::iota(all.begin(), all.end(), 0);
    model.kill(all, 600ms);
    model.run(4s);
    BOOST_TEST(model.counts().resumptions > 0U);
    BOOST_TEST(shareGoneOn(model.counts()) == 1.0);
}

// Guards against a host that takes the only version it has seen since its start for the only one there was.
BOOST_AUTO_TEST_CASE(aHostThatHasJustStartedDoesNotGuess)
{
    StreamModel::Options options;
    options.usesEarlierSkew = false;
    StreamModel model(options);
    model.list("v2", true);
    model.run(3s);
    std::vector<std::size_t> all(model.hostCount());
    std::iota(all.begin(), all.end(), 0);
    model.list("v1", false);
    model.run(400ms);
    model.kill(all, 600ms);
    model.run(4s);
    BOOST_TEST(model.counts().resumptions > 0U);
    BOOST_TEST(model.counts().joined == 0U);
}

// Guards against streams that go on at another version because nobody is left that knew of two: all hosts are killed at any moment of an upgrade, and
// the targets of the version before have gone, or come back, when the hosts do.
BOOST_DATA_TEST_CASE(aKillOfAllHostsBesideAnUpgradeJoinsNoStream,
                     boost::unit_test::data::make({HostCount{9, 60}, HostCount{90, 300}}) * boost::unit_test::data::xrange(100),
                     count,
                     seed)
{
    StreamModel::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.hosts = count.hosts;
    options.streamsPerSecond = count.streamsPerSecond;
    StreamModel model(options);
    model.run(1s);
    const bool isUpgradeSeen = seed % 4 != 3;
    const bool isRolledBack = seed % 8 == 2;
    const bool isStoreAwayAtFirst = seed % 5 == 4;
    model.setStoreAway(isStoreAwayAtFirst);
    if (isUpgradeSeen) {
        model.list("v2", true);
        model.run(20ms * static_cast<int>(model.random(160)));
    }
    if (seed % 3 == 0) {
        model.list("v1", false);
        model.run(20ms * static_cast<int>(model.random(60)));
    }
    model.killAll(200ms + 10ms * static_cast<int>(model.random(300)));
    model.run(10ms * static_cast<int>(model.random(20)));
    model.list("v2", !isRolledBack);
    if (!isRolledBack) {
        model.list("v1", false);
    }
    model.run(500ms);
    model.setStoreAway(false);
    model.run(6s);
    BOOST_TEST(model.counts().resumptions > 0U);
    BOOST_TEST(model.counts().joined == 0U);
}

// Guards against a host that takes a service's version for the only one, as it heard of no other while it was cut off or stood still: the other one may
// serve by then, and may even have gone again.
BOOST_DATA_TEST_CASE(aHostOutOfStepJoinsNoStream,
                     boost::unit_test::data::make({HostCount{9, 60}}) * boost::unit_test::data::xrange(120)
                         + boost::unit_test::data::make({HostCount{90, 300}, HostCount{295, 600}}) * boost::unit_test::data::xrange(18),
                     count,
                     seed)
{
    StreamModel::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.hosts = count.hosts;
    options.streamsPerSecond = count.streamsPerSecond;
    StreamModel model(options);
    model.run(1s);
    const std::size_t host = model.random(model.hostCount());
    const auto step = seed % 2 == 0 ? &StreamModel::cut : &StreamModel::pause;
    (model.*step)(host, 500ms + 10ms * static_cast<int>(model.random(400)));
    model.run(10ms * static_cast<int>(model.random(60)));
    model.list("v2", true);
    model.run(700ms);
    for (int i = 0; i < 12; ++i) {
        model.run(10ms * static_cast<int>(model.random(40)));
        model.breakStreams("v2", host);
        if (seed % 3 == 0 && i == 6) {
            model.list("v2", false);
        }
    }
    model.run(6s);
    BOOST_TEST(model.counts().joined == 0U);
}

// Guards against streams of a new version that begin while other hosts may still take a list without it for current.
BOOST_DATA_TEST_CASE(noStreamBeginsWhileAListMayLackItsVersion, boost::unit_test::data::xrange(20), seed)
{
    StreamModel::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.streamsPerSecond = 900;
    StreamModel model(options);
    model.run(1s);
    constexpr std::size_t host = 5; // Not the leader, which has to record that there are two versions.
    model.list("v1", true); // All hosts hear of an entry that is written again, so that their lists are recent.
    model.run(300ms);
    model.cut(host, 4s);
    model.list("v2", true);
    model.run(700ms);
    for (int i = 0; i < 100; ++i) {
        model.run(10ms);
        model.breakStreams("v2", host);
    }
    model.run(5s);
    BOOST_TEST(model.counts().resumptions > 0U);
    BOOST_TEST(model.counts().joined == 0U);
}

// Guards against streams that a lagging host joins, as the last target of their service's other version goes in the moment in which theirs is first listed,
// and theirs serves at once.
BOOST_DATA_TEST_CASE(aVersionThatReplacesAnotherAtOnceIsNotJoined, boost::unit_test::data::xrange(60), seed)
{
    StreamModel::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.streamsPerSecond = 900;
    options.lossRate = seed % 3 == 0 ? 0.02 : 0;
    StreamModel model(options);
    model.run(1s);
    const std::size_t host = model.random(model.hostCount());
    if (seed % 2 == 0) {
        model.cut(host, 3s);
    }
    model.list("v1", false);
    model.list("v2", true);
    for (int i = 0; i < 100; ++i) {
        model.run(10ms);
        model.breakStreams("v2", host);
    }
    model.run(5s);
    BOOST_TEST(model.counts().resumptions > 0U);
    BOOST_TEST(model.counts().joined == 0U);
}

// Guards against refusals of streams at a host that was out of step while the service had one version all along.
BOOST_DATA_TEST_CASE(streamsOfOneVersionGoOnAtAHostThatWasOutOfStep, boost::unit_test::data::xrange(20), seed)
{
    StreamModel::Options options;
    options.seed = static_cast<std::uint64_t>(seed);
    StreamModel model(options);
    model.run(1s);
    const auto step = seed % 2 == 0 ? &StreamModel::cut : &StreamModel::pause;
    (model.*step)(0, 4s);
    model.run(4s + 500ms);
    for (int i = 0; i < 6; ++i) {
        model.breakStreams("v1", 0);
        model.run(700ms);
    }
    BOOST_TEST(model.counts().resumptions > 0U);
    BOOST_TEST(shareGoneOn(model.counts()) == 1.0);
}

// Guards against an id of another team, or of another service, that tells which version began a stream.
BOOST_AUTO_TEST_CASE(anotherTeamsStreamIsNotKnown)
{
    StreamOrigins origins("host", {[](const std::string &, const StreamRecord &) {}, [](const std::string &, const StreamQuery &) {}});
    const TimePoint now(1h);
    const std::vector<ServiceVersion> targets{{"s", "v1"}, {"s", "v2"}};
    origins.setHosts({"host"}, now);
    origins.setTargets(targets, now);
    origins.onBegun(streamKey("r1", "a", "s"), "v2", now);
    const auto versionFor = [&](std::string_view team, std::string_view service) {
        std::optional<std::string> version;
        origins.find(streamKey("r1", team, service), "s", now, [&version](const StreamOrigins::Origin &origin) {
            if (origin.knowledge == StreamOrigins::Knowledge::Known) {
                version = origin.version;
            }
        });
        return version.value_or("none");
    };
    BOOST_TEST(versionFor("a", "s") == "v2");
    BOOST_TEST(versionFor("b", "s") == "none");
    BOOST_TEST(versionFor("a", "other") == "none");
}

// Guards against memory that grows with all streams ever begun.
BOOST_AUTO_TEST_CASE(recordsLapse)
{
    StreamOrigins origins("host", {[](const std::string &, const StreamRecord &) {}, [](const std::string &, const StreamQuery &) {}});
    TimePoint now(1h);
    for (std::uint64_t i = 1; i <= 100'000; ++i) {
        origins.onRecord({StreamKey{i}, 1}, now);
        now += 1ms;
    }
    BOOST_TEST(origins.size() <= 10'000U);
    origins.onTick(now + 1h);
    BOOST_TEST(origins.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
