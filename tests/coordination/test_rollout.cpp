#include <chrono>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "coordination/rollout_grants.h"
#include "coordination/rollout_leader.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

/// A leader with an order of revision 7 whose record the store takes at once.
struct LeaderFixture
{
    LeaderFixture()
    {
        leader.setHosts({"a", "b"}, start);
        leader.setOrder({"s", "v2", 12s}, 7, start, start);
        facts.isLeading = true;
        facts.servingVersion = "v1";
        facts.lastStage = 3;
    }

    /// Writes what the leader wants to write; returns the phase that the store then holds.
    RolloutPhase step(TimePoint now)
    {
        if (const auto record = leader.step(facts, now)) {
            leader.setRecord(*record, now);
        }
        return leader.record()->phase;
    }

    void report(const std::string &host, std::uint32_t otherInFlight, TimePoint now)
    {
        leader.onReport(host, {7, leader.record()->position, now - start, otherInFlight}, now);
    }

    RolloutLeader leader{7s};
    RolloutLeader::Facts facts;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutTest)

BOOST_AUTO_TEST_CASE(aRecordIsReadAsItWasWritten)
{
    const RolloutRecord record{12, RolloutPhase::Switching, 3, 4'711, 2'500ms, "2.1 beta"};
    BOOST_TEST((parseRolloutRecord(rolloutRecordText(record)) == record));
}

BOOST_DATA_TEST_CASE(
    aDamagedRecordIsNone,
    boost::unit_test::data::make(std::vector<std::string>{
        "", "1", "1 running 0 7 0", "x running 0 7 0 v2", "1 strange 0 7 0 v2", "1 running -1 7 0 v2", "1 running 0 7 99999999999 v2", "1 running 900 7 0 v2"}),
    text)
{
    BOOST_TEST(!parseRolloutRecord(text).has_value());
}

// Guards against requests to an untrusted version that are sent after a pause of the host, by a grant that was received late.
BOOST_AUTO_TEST_CASE(aGrantRunsOutFromWhenItWasAskedFor)
{
    RolloutGrants grants;
    grants.setOrder(7);
    const std::uint64_t id = grants.onReport(start);
    BOOST_TEST(!grants.isValid(start));
    BOOST_TEST(grants.onGrant({id, 7, 1, 750ms}));
    BOOST_TEST(grants.isValid(start + 749ms));
    BOOST_TEST(!grants.isValid(start + 750ms));
}

// Guards against grants that are not meant for what the host knows by now.
BOOST_AUTO_TEST_CASE(grantsOfAnotherOrderOrAnEarlierPositionAreIgnored)
{
    RolloutGrants grants;
    grants.setOrder(7);
    const std::uint64_t id = grants.onReport(start);
    BOOST_TEST(!grants.onGrant({id, 6, 1, 750ms}));
    BOOST_TEST(!grants.onGrant({id + 1, 7, 1, 750ms}));
    BOOST_TEST(grants.onGrant({id, 7, 2, 750ms}));
    BOOST_TEST(grants.isValid(start));
    grants.onPosition(3);
    BOOST_TEST(!grants.isValid(start));
    BOOST_TEST(!grants.onGrant({id, 7, 2, 750ms}));
}

BOOST_FIXTURE_TEST_CASE(aGoodVersionIsCompletedOnceAllRequestsElsewhereHaveEnded, LeaderFixture)
{
    BOOST_TEST((step(start) == RolloutPhase::Running));
    BOOST_TEST(leader.isExposing());
    facts.isGood = true;
    BOOST_TEST((step(start + 1s) == RolloutPhase::Switching));
    report("a", 0, start + 2s);
    report("b", 1, start + 2s);
    BOOST_TEST((step(start + 2s) == RolloutPhase::Switching));
    report("b", 0, start + 3s);
    BOOST_TEST((step(start + 3s) == RolloutPhase::Completed));
}

// Guards against a version that was found bad and gets requests as long as the store does not take the record.
BOOST_FIXTURE_TEST_CASE(nothingIsGrantedOnceAVersionWasFoundBad, LeaderFixture)
{
    step(start);
    facts.isBad = true;
    BOOST_TEST((leader.step(facts, start + 1s)->phase == RolloutPhase::RolledBack));
    BOOST_TEST(!leader.isExposing());
    facts.isBad = false;
    BOOST_TEST((leader.step(facts, start + 2s)->phase == RolloutPhase::RolledBack));
    BOOST_TEST(!leader.isExposing());
}

BOOST_FIXTURE_TEST_CASE(anOrderForTheServingVersionIsCompletedAtOnce, LeaderFixture)
{
    facts.servingVersion = "v2";
    BOOST_TEST((step(start) == RolloutPhase::Completed));
}

BOOST_FIXTURE_TEST_CASE(aSecondOrderStartsAnew, LeaderFixture)
{
    step(start);
    facts.isGood = true;
    step(start + 1s);
    facts.isGood = false;
    leader.setOrder({"s", "v3", 12s}, 8, start + 2s, start + 2s);
    const auto record = leader.step(facts, start + 2s);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST((record->phase == RolloutPhase::Running));
    BOOST_TEST(record->version == "v3");
    BOOST_TEST(record->stage == 0);
    BOOST_TEST(record->position == 3);
}

BOOST_FIXTURE_TEST_CASE(aWithdrawnOrderIsRolledBack, LeaderFixture)
{
    step(start);
    leader.removeOrder();
    BOOST_TEST(!leader.isExposing());
    BOOST_TEST((step(start + 1s) == RolloutPhase::RolledBack));
}

// Guards against a deadline that starts anew with each leader, as the new one has found the order when it started.
BOOST_FIXTURE_TEST_CASE(aNewLeaderKnowsTheAgeOfTheOrder, LeaderFixture)
{
    RolloutLeader later(7s);
    later.setOrder({"s", "v2", 12s}, 7, std::nullopt, start + 9s);
    BOOST_TEST((later.elapsed(start + 9s) == Duration::zero()));
    later.setRecord({5, RolloutPhase::Running, 1, 7, 4s, "v2"}, start + 9s);
    BOOST_TEST((later.elapsed(start + 9s) == Duration(4s)));
    later.onReport("a", {7, 5, 9s, 0}, start + 9s);
    BOOST_TEST((later.elapsed(start + 9s) == Duration(9s)));
}

BOOST_AUTO_TEST_SUITE_END()
