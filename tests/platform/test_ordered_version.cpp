#define BOOST_TEST_MODULE ordered_version
#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;

namespace
{

void answerWell(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request)
{
    connection.answer(request, 200, "whole");
}

void answerFailing(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request)
{
    connection.answer(request, 500, "failed");
}

/// Sends requests of both kinds one after the other; returns how many got 200.
int countServed(const GatewayFixture &fixture)
{
    constexpr int requests = 30;
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const std::string path = i % 2 == 0 ? "/safe/x" : "/once/x";
        served += fixture.exchange(GatewayFixture::request("GET", path)).starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    return served;
}

} // namespace

// Guards against traffic for a version under an order, before and after the order is read, and by retries of requests that failed.
BOOST_FIXTURE_TEST_CASE(anOrderedVersionGetsNoRequest, GatewayFixture)
{
    const ScriptedTarget &serving = addVersion("a", "v1", answerWell);
    const ScriptedTarget &failing = addVersion("b", "v1", answerFailing);
    const ScriptedTarget &ordered = addVersion("c", "v2", answerWell);
    countServed(*this);
    BOOST_TEST(ordered.received().empty());
    onLoop([](Gateway &gateway) { gateway.versions().setOrder("s", "v2"); });
    addVersion("d", "v2", answerWell);
    countServed(*this);
    BOOST_TEST(ordered.received().empty());
    BOOST_TEST(!serving.received().empty());
    BOOST_TEST(!failing.received().empty());
}

// Guards against callers that wait until their deadline while only a version under an order has targets.
BOOST_FIXTURE_TEST_CASE(withoutServingTargetsRequestsAreRefusedAtOnce, GatewayFixture)
{
    onLoop([](Gateway &gateway) {
        gateway.versions().setRecorded({{"s", "v1"}});
        gateway.versions().setOrder("s", "v2");
    });
    const ScriptedTarget &ordered = addVersion("c", "v2", answerWell);
    const TimePoint sentAt = BootClock::now();
    const std::string answer = exchange(request("GET", "/safe/x"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "Retry-After"));
    BOOST_TEST((BootClock::now() - sentAt < Duration(std::chrono::milliseconds(500))));
    BOOST_TEST(ordered.received().empty());
}
