#include <boost/test/unit_test.hpp>

#include "suspicion/engine_suspicions.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};

/// A host "a" of four with nine engines of one service, whose links work: it gets bytes from engine 8 every 50 ms.
struct TestHost
{
    TestHost()
    {
        suspicions.setHosts("a", hosts);
        setIncarnation(1);
    }

    void setIncarnation(std::int64_t incarnation)
    {
        std::vector<SuspicionEngine> engines;
        engines.reserve(9);
        for (int engine = 0; engine < 9; ++engine) {
            engines.push_back({std::to_string(engine), "service", incarnation});
        }
        suspicions.setEngines(engines, now);
    }

    void runFor(Duration duration)
    {
        for (const TimePoint until = now + duration; now < until; now += 50ms) {
            suspicions.onBytes("8", now);
        }
        suspicions.onBytes("8", now);
    }

    void reportSilence(int engine, Duration silence, std::int64_t incarnation = 1)
    {
        for (const char *host : {"b", "c"}) {
            suspicions.onNotice(host, EngineSilent{std::to_string(engine), incarnation, silence, {}}, now);
        }
    }

    std::vector<std::string> hosts{"a", "b", "c", "d"};
    EngineSuspicions suspicions;
    TimePoint now = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EngineSuspicionsTest)

BOOST_AUTO_TEST_CASE(anEngineThatOthersHearIsNotSuspected)
{
    // An engine that is slow for the requests of one host, for example for long prompts, would be lost to all.
    TestHost accuser;
    TestHost witness;
    accuser.runFor(600ms);
    witness.runFor(500ms);
    witness.suspicions.onBytes("0", witness.now);
    witness.runFor(100ms);
    const auto notice = accuser.suspicions.checkSilence("0", start, 0.1, accuser.now);
    BOOST_REQUIRE(notice.has_value());
    const auto reply = witness.suspicions.onNotice("b", *notice, witness.now);
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->age == 100ms));
    accuser.suspicions.onNotice(*reply, accuser.now);
    accuser.suspicions.onNotice("c", *notice, accuser.now);
    BOOST_TEST(!accuser.suspicions.isSuspected("0", accuser.now));
    BOOST_TEST(!witness.suspicions.isSuspected("0", witness.now));
    // Hosts that count the accusation get the retraction.
    BOOST_TEST(accuser.suspicions.takeChanges(accuser.now).announcements.size() == 1U);
    BOOST_TEST(!accuser.suspicions.checkSilence("0", start, 0.1, accuser.now).has_value());
}

BOOST_AUTO_TEST_CASE(requestsAreOverdueAfterThreeTimesTheExpectedTime)
{
    // A long prompt that takes its expected time would be taken for a sign of silence.
    TestHost host;
    host.runFor(1400ms);
    BOOST_TEST(!host.suspicions.checkSilence("0", start, 0.5, host.now).has_value());
    host.runFor(100ms);
    BOOST_TEST(host.suspicions.checkSilence("0", start, 0.5, host.now).has_value());
    BOOST_TEST(!host.suspicions.checkSilence("0", start, 0.5, host.now + 99ms).has_value());
}

BOOST_AUTO_TEST_CASE(oneReportIsEnoughOnlyAfterALongerSilence)
{
    // One host whose link to an engine is broken would take the engine from all.
    TestHost host;
    host.runFor(500ms);
    host.suspicions.onNotice("b", EngineSilent{"0", 1, 500ms, {}}, host.now);
    BOOST_TEST(!host.suspicions.isSuspected("0", host.now));
    host.suspicions.onNotice("b", EngineSilent{"0", 1, 600ms, {}}, host.now);
    BOOST_TEST(host.suspicions.isSuspected("0", host.now));
    BOOST_TEST(host.suspicions.takeChanges(host.now).suspected == std::vector<std::string>{"0"});
}

BOOST_AUTO_TEST_CASE(aNewIncarnationEndsTheSuspicion)
{
    // A restarted engine would stay out of use, and late notices about the old process would count against the new one.
    TestHost host;
    host.runFor(500ms);
    host.reportSilence(0, 450ms);
    BOOST_TEST(host.suspicions.takeChanges(host.now).suspected.size() == 1U);
    host.setIncarnation(2);
    host.reportSilence(0, 450ms);
    host.runFor(300ms);
    BOOST_TEST(!host.suspicions.isSuspected("0", host.now));
    BOOST_TEST(!host.suspicions.checkSilence("0", start, 0.1, host.now).has_value());
    const EngineSuspicions::Changes changes = host.suspicions.takeChanges(host.now);
    BOOST_TEST(changes.cleared == std::vector<std::string>{"0"});
    BOOST_TEST(changes.announcements.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aThirdIsSuspectedBelowOneSecondOfSilence)
{
    // A common cause, for example a burst of long prompts, would take most engines of a service out of use.
    TestHost host;
    host.runFor(500ms);
    for (int engine = 0; engine < 5; ++engine) {
        host.reportSilence(engine, 900ms);
        BOOST_TEST(host.suspicions.isSuspected(std::to_string(engine), host.now) == (engine < 3));
    }
    host.reportSilence(4, 1s);
    BOOST_TEST(host.suspicions.isSuspected("4", host.now));
}

BOOST_AUTO_TEST_CASE(oneHostProbesInEachTurn)
{
    // Probes of all hosts would send as many requests to the silent engine as before.
    std::vector<TestHost> fleet(4);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet[index].suspicions.setHosts(fleet[index].hosts[index], fleet[index].hosts);
        fleet[index].suspicions.onNotice("x", EngineSilent{"0", 1, 900ms, {}}, start);
    }
    int probes = 0;
    for (TimePoint now = start; now < start + 4s; now += 10ms) {
        for (TestHost &host : fleet) {
            if (host.suspicions.mayProbe("0", now)) {
                host.suspicions.onProbeSent("0", now);
                ++probes;
            }
        }
    }
    BOOST_TEST(probes == 7);
}

BOOST_AUTO_TEST_SUITE_END()
