#define BOOST_TEST_MODULE weights_deadline
#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_CASE(noRequestGoesToOlderWeightsAfterTheDeadlineThoughTheHostStoodStill, GatewayFixture)
{
    // New weights are named, and the host that orders the engines stands still, so that an engine keeps the older ones. Another stands still
    // while the time for those ends. It knew when to stop, but made its list of targets anew only if that moment lay within the quarter of a
    // second before a look at the clock; the look came late and passed over it. Callers got answers of weights that no longer count until
    // something else was heard of the targets.
    static constexpr Duration deadline = 3s;
    onLoop([](Gateway &gateway) {
        GatewayLimits limits;
        limits.weightsDeadline = deadline;
        gateway.setLimits(limits);
    });
    const ScriptedTarget &engine = addEngine(
        "e", {"m", 1}, [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { connection.answer(request, 200, "old"); });
    onLoop([](Gateway &gateway) { gateway.setPublishedWeights({"m", 2, BootClock::now()}); });
    const std::string fields = "Lovageloft-Model: m\r\nLovageloft-Token-Count: 10,1\r\nLovageloft-Prefix-Hash: a:10\r\n";
    const std::string before = exchange(request("POST", "/safe/x", {}, fields));
    BOOST_TEST(before.ends_with("old"));
    holdUp(olderWeightsGracePeriod(deadline) + 400ms);
    const std::string after = exchange(request("POST", "/safe/x", {}, fields));
    BOOST_TEST(after.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(engine.requests() == 1);
}
