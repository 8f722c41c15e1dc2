#include <boost/test/unit_test.hpp>

#include "gateway/target_directory.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration deadline = 8s;

std::shared_ptr<TargetMap> engines(std::int64_t firstVersion, std::int64_t secondVersion, std::int64_t incarnation = 1)
{
    auto targets = std::make_shared<TargetMap>();
    for (const auto &[id, version] : {std::pair{"e1", firstVersion}, std::pair{"e2", secondVersion}}) {
        Target target;
        target.id = id;
        target.service = "s";
        target.incarnation = incarnation;
        target.slots = 16;
        target.models = {{"m", version}};
        targets->emplace(id, target);
    }
    return targets;
}

struct Fixture
{
    TargetDirectory directory{deadline};

    Fixture()
    {
        directory.setTargets(engines(1, 1));
    }

    bool isServing(std::string_view name, TimePoint now) const
    {
        for (const SchedulerEngine &engine : directory.engines(now)) {
            if (engine.name == name) {
                return engine.isServing;
            }
        }
        return false;
    }

    std::string versionOf(std::string_view name, TimePoint now) const
    {
        for (const SchedulerEngine &engine : directory.engines(now)) {
            if (engine.name == name) {
                return engine.weightsVersion;
            }
        }
        return {};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetDirectoryTest, Fixture)

BOOST_AUTO_TEST_CASE(eachPublishedVersionKeepsItsOwnDeadline)
{
    // Operators publish new weights every three seconds. If each publication postponed the deadline, an engine that misses every update
    // would serve old weights forever, and callers would get results of weights replaced long ago.
    for (std::int64_t version = 2; version <= 5; ++version) {
        directory.setPublishedWeights({"m", version, start + 3s * (version - 2)});
    }
    directory.setTargets(engines(5, 1));
    BOOST_TEST(isServing("e2|m", start + 6s));
    BOOST_TEST(!isServing("e2|m", start + 7s));
    BOOST_TEST(isServing("e1|m", start + 60s));
    const auto change = directory.nextChange(start);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((*change > start && *change < start + deadline));
}

// Guards against requests to an engine that has asked for rest, because a shorter wish, a change of its entry or a gap in the list ends it.
BOOST_AUTO_TEST_CASE(aTargetRestsUntilTheEndOfTheTimeThatItAskedFor)
{
    BOOST_TEST(directory.rest("e1", 1, start + 3s, start));
    BOOST_TEST(!directory.rest("e1", 1, start + 2s, start + 1s));
    AnswerFacts declined;
    declined.isNotExecuted = true;
    directory.onNotExecuted("e1|m", declined, "m", start + 1s);
    directory.setTargets(engines(2, 1));
    directory.setTargets(std::make_shared<TargetMap>());
    directory.setTargets(engines(2, 1));
    BOOST_TEST(!isServing("e1|m", start + 2'999ms));
    BOOST_TEST(isServing("e2|m", start + 2s));
    BOOST_TEST((directory.nextChange(start + 2s) == start + 3s));
    BOOST_TEST(isServing("e1|m", start + 3s));
    BOOST_TEST(directory.rest("e1", 1, start + 9s, start + 4s));
    directory.setTargets(engines(2, 1, 2));
    BOOST_TEST(isServing("e1|m", start + 5s)); // Another incarnation has not asked for it.
}

BOOST_AUTO_TEST_CASE(weightsFoundAtStartupMayHaveBeenPublishedLongBefore)
{
    // A host restarts a second after new weights were published, and one engine misses the update. If the deadline ran from the start of the
    // host, it would send requests to that engine after the real deadline, and callers would get results of outdated weights.
    directory.setPublishedWeights({"m", 2, start + 1s, true});
    BOOST_TEST(isServing("e1|m", start + 2s));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    directory.setTargets(engines(2, 1));
    BOOST_TEST(isServing("e1|m", start + 7s));
    directory.setPublishedWeights({"m", 3, start + 20s});
    BOOST_TEST(isServing("e1|m", start + 26s));
    BOOST_TEST(!isServing("e1|m", start + 27s));
}

BOOST_AUTO_TEST_CASE(aStartingHostLearnsFromOthersWhenWeightsWerePublished)
{
    // Hosts are restarted one by one while new weights are rolled out. A host that starts six seconds after the publication and assumes four
    // seconds would send to engines with older weights after the deadline, and callers would get results of outdated weights.
    directory.setPublishedWeights({"m", 2, start + 6s, true});
    BOOST_TEST(directory.needsPublicationTime(start + 6s));
    BOOST_TEST(directory.weightsWithKnownTime().empty());
    BOOST_TEST(isServing("e1|m", start + 7s));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start}));
    BOOST_TEST(!directory.needsPublicationTime(start + 6s));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(directory.weightsWithKnownTime().size() == 1U);
    BOOST_TEST(!directory.updatePublicationTime({"m", 2, start + 5s}));
}

BOOST_AUTO_TEST_CASE(aFleetThatRestartsRightAfterAPublicationUsesOlderWeights)
{
    // All hosts restart a second after new weights were published, before any engine has loaded them. If they were assumed to be old, no
    // engine could be used for seconds. The key that the leader wrote to the store shows that they are recent.
    directory.setPublishedWeights({"m", 2, start, true});
    directory.setRecentWeights({"m/2"});
    BOOST_TEST(isServing("e1|m", start + 2s));
    directory.setPublishedWeights({"m", 3, start + 10s});
    directory.setTargets(engines(2, 2));
    BOOST_TEST(isServing("e1|m", start + 12s));
}

BOOST_AUTO_TEST_CASE(aStartingHostLearnsOfSupersededWeights)
{
    // Two versions were published before a host started, and the store holds only the newer one. The deadline of the first applies to an
    // engine that missed both updates.
    directory.setPublishedWeights({"m", 3, start + 6s, true});
    BOOST_TEST(directory.updatePublicationTime({"m", 3, start + 5s}));
    BOOST_TEST(isServing("e1|m", start + 7s));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start}));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(!directory.updatePublicationTime({"m", 9, start}));
    BOOST_TEST(!directory.updatePublicationTime({"other", 1, start}));
}

BOOST_AUTO_TEST_CASE(theEarliestReportedPublicationTimeWins)
{
    // A host is cut off while it waits for the store and reconnects before the call ends. It sees the weights three seconds late without
    // noticing, and takes that time as the publication time.
    directory.setPublishedWeights({"m", 2, start + 3s});
    BOOST_TEST(!directory.updatePublicationTime({"m", 2, start + 4s}));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start}));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(!directory.updatePublicationTime({"m", 2, start - 1ms})); // Within the delay of datagrams.
}

BOOST_AUTO_TEST_CASE(aHostThatObservedLateAsksOthersAndReportsNothing)
{
    // The host stalled for three seconds. Its publication time is an estimate, which must not be reported to other hosts as known.
    directory.setPublishedWeights({"m", 2, start + 3s, false, 3s});
    BOOST_TEST(directory.needsPublicationTime(start + 3s));
    BOOST_TEST(directory.weightsWithKnownTime().empty());
    BOOST_TEST(isServing("e1|m", start + 6s));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start + 2s}));
    BOOST_TEST(isServing("e1|m", start + 8s));
    BOOST_TEST((directory.newestPublished().at(0).publishedAt == start + 2s));
}

BOOST_AUTO_TEST_CASE(anEngineThatRejectsTheExpectedWeightsHasTheNewest)
{
    // An engine has loaded new weights before its entry is updated, and rejects each request that expects the old ones. If the entry were
    // still trusted, every request would make a wasted round trip until the watch delivers the new entry.
    directory.setPublishedWeights({"m", 2, start});
    AnswerFacts facts;
    facts.isTargetMismatch = true;
    facts.targetId = "e1";
    directory.onNotExecuted("e1|m", facts, "m", start);
    BOOST_TEST(versionOf("e1|m", start) == "2");
    BOOST_TEST(versionOf("e2|m", start) == "1");
    BOOST_TEST(isServing("e1|m", start));
}

BOOST_AUTO_TEST_CASE(aReusedAddressIsNotUsedUntilTheTargetRestarts)
{
    // The address of a crashed engine is reassigned to an engine of another service. Requests sent there would be executed by the wrong
    // service if it did not reject them.
    AnswerFacts facts;
    facts.isTargetMismatch = true;
    facts.targetId = "stranger";
    directory.onNotExecuted("e1|m", facts, "m", start);
    BOOST_TEST(!isServing("e1|m", start + 60s));
    directory.setTargets(engines(1, 1, 2));
    BOOST_TEST(isServing("e1|m", start + 60s));
}

BOOST_AUTO_TEST_CASE(aTargetThatDeclinesIsAvoidedBriefly)
{
    directory.onNotExecuted("e1|m", {}, "m", start);
    BOOST_TEST(!isServing("e1|m", start + 100ms));
    BOOST_TEST(isServing("e1|m", start + 1s));
}

BOOST_AUTO_TEST_CASE(avoidanceEndsWhenTheEngineReportsNewWeights)
{
    // The leader announces that an engine will load weights. If the engine were avoided for the whole announced time although it has already
    // loaded them, a third of the engines would be idle during each update.
    directory.avoid("e1", {}, start + 10s);
    BOOST_TEST(!isServing("e1|m", start + 1s));
    BOOST_TEST(isServing("e2|m", start + 1s));
    directory.setTargets(engines(2, 1));
    BOOST_TEST(isServing("e1|m", start + 1s));
}

// Guards against tenants that share cached prompts at an engine whose entry has lost its models: it took requests as a plain target does.
BOOST_AUTO_TEST_CASE(anEngineWithoutModelsIsNotUsed)
{
    directory.setServices(std::vector<TargetService>{{.name = "s", .hasEngines = true}});
    auto targets = engines(1, 1);
    targets->erase("e2");
    targets->at("e1").models.clear();
    directory.setTargets(targets);
    BOOST_TEST(!isServing("e1", start));
    BOOST_TEST(directory.schedulerModel("s", "m") == "s|m");
    directory.setServices(std::vector<TargetService>{{.name = "s"}});
    BOOST_TEST(isServing("e1", start));
    BOOST_TEST(directory.schedulerModel("s", "m") == "s");
}

// Guards against a host that starts after a late write of an older version, and takes all engines' newer weights for outdated or unknown.
BOOST_AUTO_TEST_CASE(aNewerVersionThatEnginesListCountsAsPublished)
{
    directory.setTargets(engines(9, 8));
    BOOST_TEST(!directory.addListedWeights(start)); // Nothing is known of the model's publications.
    directory.setPublishedWeights({"m", 3, start, true});
    BOOST_TEST(directory.addListedWeights(start));
    BOOST_TEST(!directory.addListedWeights(start));
    BOOST_REQUIRE(directory.newestPublished().size() == 1U);
    BOOST_TEST(directory.newestPublished()[0].version == 9);
    BOOST_TEST(directory.needsPublicationTime(start));
    BOOST_TEST(isServing("e1|m", start + 60s));
    BOOST_TEST(isServing("e2|m", start + 2s));
    BOOST_TEST(!isServing("e2|m", start + 7s));
    directory.setPublishedWeights({"m", 9, start + 1s}); // The watch delivers the publication later than the entries.
    BOOST_TEST(!directory.needsPublicationTime(start + 1s));
    BOOST_TEST(isServing("e2|m", start + 7s));
}

// Guards against an engine that gets no requests for one of its models while it loads weights of another.
BOOST_AUTO_TEST_CASE(aLoadKeepsOnlyItsOwnModelFromRequests)
{
    const auto twoModels = [this](std::int64_t first, std::int64_t second) {
        auto targets = engines(first, 1);
        targets->at("e1").models.push_back({"n", second});
        directory.setTargets(targets);
    };
    twoModels(1, 1);
    directory.avoid("e1", "m", start + 10s);
    BOOST_TEST(!isServing("e1|m", start + 1s));
    BOOST_TEST(isServing("e1|n", start + 1s));
    BOOST_TEST((directory.nextChange(start) == start + 10s));
    twoModels(1, 2);
    BOOST_TEST(!isServing("e1|m", start + 1s));
    twoModels(2, 2);
    BOOST_TEST(isServing("e1|m", start + 1s));
}

BOOST_AUTO_TEST_CASE(aLeavingTargetServesNothing)
{
    auto targets = engines(1, 1);
    targets->at("e1").isLeaving = true;
    directory.setTargets(targets);
    BOOST_TEST(!isServing("e1|m", start));
    BOOST_TEST((directory.find("e1|m") != nullptr));
}

BOOST_AUTO_TEST_CASE(schedulerModelCombinesServiceAndModelForEnginesOnly)
{
    auto targets = engines(1, 1);
    Target serviceTarget;
    serviceTarget.id = "p1";
    serviceTarget.service = "ledger";
    targets->emplace("p1", serviceTarget);
    directory.setTargets(targets);
    BOOST_TEST(directory.schedulerModel("s", "m") == "s|m");
    BOOST_TEST(directory.schedulerModel("ledger", "") == "ledger");
    BOOST_TEST(isServing("p1", start));
}

BOOST_FIXTURE_TEST_CASE(aWithheldTargetIsNotServing, Fixture)
{
    directory.setWithheld({"e2"});
    BOOST_TEST(isServing("e1|m", start));
    BOOST_TEST(!isServing("e2|m", start));
    directory.setWithheld({});
    BOOST_TEST(isServing("e2|m", start));
}

BOOST_AUTO_TEST_SUITE_END()
