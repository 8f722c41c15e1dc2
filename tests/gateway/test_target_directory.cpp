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

BOOST_AUTO_TEST_CASE(eachNamedVersionKeepsItsOwnDeadline)
{
    // Operators name new weights every three seconds. If the newest name put the deadline off, an engine that was left out of each
    // round would go on serving for good, and readers would get figures of weights withdrawn long ago.
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

BOOST_AUTO_TEST_CASE(weightsThatAHostFindsAtItsStartMayHaveBeenNamedLongBefore)
{
    // A host restarts a second after new weights were named, and one engine is left out of the round. If the host counted the deadline
    // from its own start, that engine would be sent requests after it, and readers would get figures of weights that no longer count.
    directory.setPublishedWeights({"m", 2, start + 1s, true});
    BOOST_TEST(isServing("e1|m", start + 2s));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    directory.setTargets(engines(2, 1));
    BOOST_TEST(isServing("e1|m", start + 7s));
    directory.setPublishedWeights({"m", 3, start + 20s});
    BOOST_TEST(isServing("e1|m", start + 26s));
    BOOST_TEST(!isServing("e1|m", start + 27s));
}

BOOST_AUTO_TEST_CASE(aHostThatStartsIsToldHowLongAgoWeightsWereNamed)
{
    // Hosts are restarted in turn while new weights are brought in. One that starts six seconds after they were named and guesses that it
    // was four goes on sending to engines with older weights after the deadline; readers get figures of weights that no longer count.
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

BOOST_AUTO_TEST_CASE(aFleetThatRestartsRightAfterWeightsWereNamedUsesTheOlderOnes)
{
    // All hosts restart a second after new weights were named, before an engine has them. Taken for long named, they would leave callers
    // without any engine for seconds. The key that the leader left in the store tells that they are young.
    directory.setPublishedWeights({"m", 2, start, true});
    directory.setRecentWeights({"m/2"});
    BOOST_TEST(isServing("e1|m", start + 2s));
    directory.setPublishedWeights({"m", 3, start + 10s});
    directory.setTargets(engines(2, 2));
    BOOST_TEST(isServing("e1|m", start + 12s));
}

BOOST_AUTO_TEST_CASE(aHostThatStartsIsToldOfWeightsThatOthersHaveFollowed)
{
    // Two versions were named before a host started, and the store shows the newer one only. An engine left out of both rounds has the
    // deadline of the first.
    directory.setPublishedWeights({"m", 3, start + 6s, true});
    BOOST_TEST(directory.updatePublicationTime({"m", 3, start + 5s}));
    BOOST_TEST(isServing("e1|m", start + 7s));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start}));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(!directory.updatePublicationTime({"m", 9, start}));
    BOOST_TEST(!directory.updatePublicationTime({"other", 1, start}));
}

BOOST_AUTO_TEST_CASE(ofTwoHostsThatKnowTheOneThatHeardFirstIsNearer)
{
    // A host's cut heals while it waits for the store: nothing shows that it heard three seconds late, and it believes that it knows.
    directory.setPublishedWeights({"m", 2, start + 3s});
    BOOST_TEST(!directory.updatePublicationTime({"m", 2, start + 4s}));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start}));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(!directory.updatePublicationTime({"m", 2, start - 1ms})); // Datagrams take as long.
}

BOOST_AUTO_TEST_CASE(aHostThatHeardLateAsksAndDoesNotTell)
{
    // It stood still for three seconds. What it makes of that is a guess, which must not be spread as knowledge.
    directory.setPublishedWeights({"m", 2, start + 3s, false, 3s});
    BOOST_TEST(directory.needsPublicationTime(start + 3s));
    BOOST_TEST(directory.weightsWithKnownTime().empty());
    BOOST_TEST(isServing("e1|m", start + 6s));
    BOOST_TEST(!isServing("e1|m", start + 7s));
    BOOST_TEST(directory.updatePublicationTime({"m", 2, start + 2s}));
    BOOST_TEST(isServing("e1|m", start + 8s));
    BOOST_TEST((directory.newestPublished().at(0).publishedAt == start + 2s));
}

BOOST_AUTO_TEST_CASE(anEngineThatRefusesTheExpectedWeightsHasTheNewest)
{
    // An engine has loaded before its entry says so, and refuses each request that expects the old weights. Were the entry believed
    // further, every request would make that round trip until the store's watch catches up.
    directory.setPublishedWeights({"m", 2, start});
    AnswerFacts facts;
    facts.isTargetMismatch = true;
    facts.targetId = "e1";
    directory.onNotExecuted("e1|m", facts, "m", start);
    BOOST_TEST(versionOf("e1|m", start) == "2");
    BOOST_TEST(versionOf("e2|m", start) == "1");
    BOOST_TEST(isServing("e1|m", start));
}

BOOST_AUTO_TEST_CASE(anAddressWithAnotherOwnerIsNotUsedUntilItsEntryChanges)
{
    // A crashed engine's address is given to an engine of another service. Requests sent there would run at the wrong service if
    // that one did not refuse them.
    AnswerFacts facts;
    facts.isTargetMismatch = true;
    facts.targetId = "stranger";
    directory.onNotExecuted("e1|m", facts, "m", start);
    BOOST_TEST(!isServing("e1|m", start + 60s));
    directory.setTargets(engines(1, 1, 2));
    BOOST_TEST(isServing("e1|m", start + 60s));
}

BOOST_AUTO_TEST_CASE(aTargetThatDeclinesIsLeftAloneForAMoment)
{
    directory.onNotExecuted("e1|m", {}, "m", start);
    BOOST_TEST(!isServing("e1|m", start + 100ms));
    BOOST_TEST(isServing("e1|m", start + 1s));
}

BOOST_AUTO_TEST_CASE(anAnnouncedLoadEndsWhenTheEngineSaysSo)
{
    // The leader tells that an engine will load. Left alone for the whole announced time although it has loaded long since, a third of
    // the engines would idle during each change of weights.
    directory.avoid("e1", start + 10s);
    BOOST_TEST(!isServing("e1|m", start + 1s));
    BOOST_TEST(isServing("e2|m", start + 1s));
    directory.setTargets(engines(2, 1));
    BOOST_TEST(isServing("e1|m", start + 1s));
}

BOOST_AUTO_TEST_CASE(aLeavingTargetGetsNothing)
{
    auto targets = engines(1, 1);
    targets->at("e1").isLeaving = true;
    directory.setTargets(targets);
    BOOST_TEST(!isServing("e1|m", start));
    BOOST_TEST((directory.find("e1|m") != nullptr));
}

BOOST_AUTO_TEST_CASE(plainServicesAreNamedByThemselvesAndModelsWithTheirService)
{
    auto targets = engines(1, 1);
    Target plain;
    plain.id = "p1";
    plain.service = "ledger";
    targets->emplace("p1", plain);
    directory.setTargets(targets);
    BOOST_TEST(directory.schedulerModel("s", "m") == "s|m");
    BOOST_TEST(directory.schedulerModel("ledger", "") == "ledger");
    BOOST_TEST(isServing("p1", start));
}

BOOST_AUTO_TEST_SUITE_END()
