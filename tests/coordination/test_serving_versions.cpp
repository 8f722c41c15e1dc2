#include <map>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "coordination/serving_versions.h"
#include "core/random.h"

using namespace Lovageloft;

namespace
{

struct Listed
{
    std::string version;
    std::int64_t incarnation = 1;
    bool isLeaving = false;
};

struct Fixture
{
    ServingVersions versions;
    std::map<std::string, Listed> targets;
    TimePoint now;

    Fixture()
    {
        versions.setRecorded({});
    }

    /// Lists targets named VERSION-NUMBER.
    void add(const std::string &version, int count, std::int64_t incarnation = 1)
    {
        for (int i = 0; i < count; ++i) {
            targets[version + '-' + std::to_string(i)] = {version, incarnation, false};
        }
    }

    void publish()
    {
        std::vector<VersionedTarget> views;
        for (const auto &[id, target] : targets) {
            views.push_back({id, "s", target.version, target.incarnation, target.isLeaving});
        }
        versions.setTargets(views, now);
    }

    /// Lets so much time pass that versions listed before are not new any more.
    void settle()
    {
        now += ServingVersions::newVersionDelay;
        versions.advance(now, now);
    }

    std::size_t servingTargets(const std::string &version) const
    {
        std::size_t count = 0;
        for (const auto &[id, target] : targets) {
            count += target.version == version && !versions.withheld().contains(id) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServingVersionsTest, Fixture)

BOOST_AUTO_TEST_CASE(targetsThatComeBeforeTheirOrderGetNothing)
{
    // Guards against traffic for a version under test, because its targets are listed before the order is read.
    add("v1", 3);
    publish();
    add("v2", 3, 2);
    publish();
    BOOST_TEST(servingTargets("v1") == 3U);
    BOOST_TEST(servingTargets("v2") == 0U);
    versions.setOrder("s", "v2");
    BOOST_TEST(servingTargets("v1") == 3U);
    BOOST_TEST(servingTargets("v2") == 0U);
}

BOOST_AUTO_TEST_CASE(crashesOfTheServingVersionDoNotMoveTrafficToAnOrderedOne)
{
    // Guards against a majority that flips to the version under test when serving targets crash.
    add("v1", 3);
    publish();
    add("v2", 3, 2);
    versions.setOrder("s", "v2");
    targets.erase("v1-0");
    targets.erase("v1-1");
    publish();
    BOOST_TEST(servingTargets("v1") == 1U);
    BOOST_TEST(servingTargets("v2") == 0U);
    targets.erase("v1-2");
    publish();
    BOOST_TEST(servingTargets("v2") == 0U);
    add("v1", 1);
    publish();
    BOOST_TEST(servingTargets("v1") == 1U);
}

BOOST_AUTO_TEST_CASE(anOrderTakesTrafficFromAVersionThatStoodInForCrashedTargets)
{
    // Guards against an order that finds its version serving already, because all targets of the serving one had crashed a moment before.
    add("v1", 2);
    publish();
    targets.clear();
    add("v2", 2, 2);
    publish();
    BOOST_TEST(servingTargets("v2") == 2U);
    versions.setOrder("s", "v2");
    BOOST_TEST(servingTargets("v2") == 0U);
}

BOOST_AUTO_TEST_CASE(versionsServeSideBySideWithoutAnOrder)
{
    // Guards against targets that stand idle, as their version is taken for one under test though nobody ordered it.
    add("v1", 3);
    publish();
    settle();
    add("v2", 2, 2);
    publish();
    BOOST_TEST(servingTargets("v2") == 0U);
    settle();
    add("v3", 4, 3);
    publish();
    BOOST_TEST(servingTargets("v2") == 2U);
    BOOST_TEST(servingTargets("v3") == 0U);
    settle();
    BOOST_TEST(servingTargets("v1") == 3U);
    BOOST_TEST(servingTargets("v2") == 2U);
    BOOST_TEST(servingTargets("v3") == 4U);
    BOOST_TEST(versions.servingVersion("s").value_or("") == "v1");
}

BOOST_AUTO_TEST_CASE(aNewVersionWaitsUntilItsOrderWouldBeKnown)
{
    // Guards against traffic for a version under test on a host that has lost the store after it had read the first entry.
    add("v1", 3);
    publish();
    settle();
    const TimePoint heardAt = now;
    add("v2", 2, 2);
    publish();
    now += 10 * ServingVersions::newVersionDelay;
    versions.advance(now, heardAt);
    BOOST_TEST(servingTargets("v2") == 0U);
    versions.advance(now, now);
    BOOST_TEST(servingTargets("v2") == 2U);
}

BOOST_AUTO_TEST_CASE(anOrderWithholdsAVersionThatServes)
{
    // Guards against exposure of a version under test, because its targets served before the order came.
    add("v1", 3);
    add("v2", 2, 2);
    publish();
    settle();
    BOOST_TEST(servingTargets("v2") == 2U);
    versions.setOrder("s", "v2");
    BOOST_TEST(servingTargets("v2") == 0U);
    BOOST_TEST(servingTargets("v1") == 3U);
    add("v3", 1, 3);
    publish();
    settle();
    BOOST_TEST(servingTargets("v3") == 1U);
    BOOST_TEST(servingTargets("v2") == 0U);
}

BOOST_AUTO_TEST_CASE(aReleaseMovesTheServingVersion)
{
    add("v1", 3);
    publish();
    for (const std::string number : {"0", "1", "2"}) {
        targets["v2-" + number] = {"v2", 2, false};
        publish();
        settle();
        BOOST_TEST(servingTargets("v2") == static_cast<std::size_t>(std::stoi(number)) + 1);
        targets.erase("v1-" + number);
        publish();
    }
    BOOST_TEST(servingTargets("v2") == 3U);
    BOOST_TEST(versions.servingVersion("s").value_or("") == "v2");
    BOOST_TEST(versions.unrecorded().at("s") == "v2");
}

BOOST_AUTO_TEST_CASE(afterARolloutAReleaseReplacesOneTargetAtATime)
{
    // Guards against requests at targets of the version that a rollout has replaced, and against a service that shrinks with each target that a later
    // release replaces.
    add("v1", 3);
    publish();
    settle();
    add("v2", 3, 2);
    versions.setOrder("s", "v2");
    publish();
    versions.setSwitched("s", "v2");
    versions.setServing("s", "v2");
    versions.setSwitched("s", std::nullopt);
    settle();
    BOOST_TEST(servingTargets("v1") == 0U);
    BOOST_TEST(servingTargets("v2") == 3U);
    targets.erase("v1-0");
    targets.erase("v1-1");
    targets.erase("v1-2");
    for (const std::string number : {"0", "1", "2"}) {
        targets["v3-" + number] = {"v3", 3, false};
        publish();
        settle();
        targets["v2-" + number].isLeaving = true;
        publish();
        BOOST_TEST(servingTargets("v3") == static_cast<std::size_t>(std::stoi(number)) + 1);
        targets.erase("v2-" + number);
        publish();
    }
    BOOST_TEST(versions.servingVersion("s").value_or("") == "v3");
}

BOOST_AUTO_TEST_CASE(anOrderOutranksARelease)
{
    add("v1", 2);
    publish();
    add("v2", 1, 2);
    targets["v1-0"].isLeaving = true;
    publish();
    settle();
    BOOST_TEST(servingTargets("v2") == 1U);
    versions.setOrder("s", "v2");
    BOOST_TEST(servingTargets("v2") == 0U);
    versions.removeOrder("s");
    BOOST_TEST(servingTargets("v2") == 1U);
}

BOOST_AUTO_TEST_CASE(aHostThatStartsInTheMiddleKnowsTheServingVersion)
{
    // Guards against hosts that restart during a rollout and take the version with more targets for the serving one.
    versions.setRecorded({{"s", "v1"}});
    add("v1", 1);
    add("v2", 5, 2);
    publish();
    BOOST_TEST(servingTargets("v1") == 1U);
    BOOST_TEST(servingTargets("v2") == 0U);
    BOOST_TEST(versions.unrecorded().empty());
}

BOOST_AUTO_TEST_CASE(withoutARecordMostTargetsDecideAndThenTheOlderOnes)
{
    add("v1", 2, 5);
    add("v2", 2, 9);
    publish();
    BOOST_TEST(versions.servingVersion("s").value_or("") == "v1");
    BOOST_TEST(versions.unrecorded().at("s") == "v1");
    ServingVersions other;
    const std::vector<VersionedTarget> views{{"a", "s", "v1", 1, false}, {"b", "s", "v2", 2, false}, {"c", "s", "v2", 3, false}};
    other.setTargets(views, now);
    BOOST_TEST(other.servingVersion("s").value_or("") == "v2");
    BOOST_TEST(other.unrecorded().empty()); // The records have not been read yet.
}

BOOST_AUTO_TEST_CASE(anOrderThatIsKnownFirstLeavesTheOtherVersionServing)
{
    // Guards against a host that starts with the order known and takes the ordered version, which has more targets, for the serving one.
    ServingVersions starting;
    starting.setOrder("s", "v2");
    const std::vector<VersionedTarget> onlyOrdered{{"b", "s", "v2", 2, false}, {"c", "s", "v2", 3, false}};
    starting.setTargets(onlyOrdered, now);
    BOOST_TEST(starting.withheld().size() == 2U);
    const std::vector<VersionedTarget> both{{"a", "s", "v1", 1, false}, {"b", "s", "v2", 2, false}, {"c", "s", "v2", 3, false}};
    starting.setTargets(both, now);
    BOOST_TEST(starting.servingVersion("s").value_or("") == "v1");
    BOOST_TEST(!starting.withheld().contains("a"));
    BOOST_TEST(starting.withheld().size() == 2U);
}

BOOST_AUTO_TEST_CASE(anOldOrderForTheOnlyVersionDoesNotStopTheService)
{
    // Guards against a service without targets after an order that was carried out long ago.
    versions.setOrder("s", "v2");
    add("v2", 2);
    publish();
    BOOST_TEST(servingTargets("v2") == 2U);
}

BOOST_AUTO_TEST_CASE(anUnreadableOrderLeavesOnlyTheServingVersion)
{
    add("v1", 2);
    publish();
    versions.setOrder("s", "");
    add("v2", 2, 2);
    targets["v1-0"].isLeaving = true;
    publish();
    BOOST_TEST(servingTargets("v1") == 2U);
    BOOST_TEST(servingTargets("v2") == 0U);
}

BOOST_AUTO_TEST_CASE(targetsWithoutAVersionServe)
{
    add("", 2);
    publish();
    BOOST_TEST(servingTargets("") == 2U);
}

BOOST_DATA_TEST_CASE(noScheduleSendsRequestsToAnOrderedVersion, boost::unit_test::data::xrange(1'000), seed)
{
    // Guards against any order of crashes, returns, releases, restarts and orders that lets an ordered version serve.
    Random random(static_cast<std::uint64_t>(seed));
    const std::size_t count = 1 + randomBelow(random, 5);
    add("v1", static_cast<int>(count));
    publish();
    std::map<std::string, std::string, std::less<>> record{{"s", "v1"}};
    bool isOrdered = false;
    int next = 0;
    for (int step = 0; step < 40; ++step) {
        const std::string id =
            targets.empty() ? std::string() : std::next(targets.begin(), static_cast<std::ptrdiff_t>(randomBelow(random, targets.size())))->first;
        switch (randomBelow(random, 6)) {
        case 0:
            targets.erase(id);
            break;
        case 1:
            targets["v2+" + std::to_string(next++)] = {"v2", 2, false};
            break;
        case 2:
            targets["v1+" + std::to_string(next++)] = {"v1", 1, false};
            break;
        case 3:
            if (!isOrdered && !id.empty() && targets[id].version == "v1") {
                targets[id].isLeaving = true;
            }
            break;
        case 4:
            if (versions.servingVersion("s") == "v1") {
                versions.setOrder("s", "v2");
                isOrdered = true;
            }
            break;
        default:
            // A host that starts now: the list of operators' entries precedes all decisions, the record may come later.
            versions = ServingVersions();
            if (isOrdered) {
                versions.setOrder("s", "v2");
            }
            if (randomBelow(random, 2) == 0) {
                publish();
            }
            versions.setRecorded(record);
            break;
        }
        publish();
        if (randomBelow(random, 2) == 0) {
            settle();
        }
        const auto unrecorded = versions.unrecorded();
        if (!unrecorded.empty()) {
            record["s"] = unrecorded.at("s");
            versions.setRecorded(record); // All hosts read what the leader has written.
        }
        if (isOrdered) {
            BOOST_REQUIRE_EQUAL(servingTargets("v2"), 0U);
        }
        BOOST_REQUIRE(isOrdered || versions.withheld().size() < targets.size() || targets.empty());
    }
}

// Guards against targets of a rolled-back or completed switch that keep the requests, or get none.
BOOST_FIXTURE_TEST_CASE(aSwitchLastsUntilItEnds, Fixture)
{
    add("v1", 2);
    publish();
    add("v2", 3, 2);
    publish();
    versions.setOrder("s", "v2");
    versions.setSwitched("s", "v2");
    BOOST_TEST(servingTargets("v2") == 3U);
    BOOST_TEST(servingTargets("v1") == 0U);
    BOOST_TEST(versions.servingVersion("s").value() == "v1");
    versions.setSwitched("s", std::nullopt);
    BOOST_TEST(servingTargets("v1") == 2U);
    BOOST_TEST(servingTargets("v2") == 0U);
    versions.setServing("s", "v2");
    BOOST_TEST(servingTargets("v2") == 3U);
    BOOST_TEST(versions.unrecorded().at("s") == "v2");
    targets["v2-0"].isLeaving = true;
    publish();
    BOOST_TEST(versions.targetsOf("s", "v2").size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
