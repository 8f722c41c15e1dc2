#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;

BOOST_FIXTURE_TEST_SUITE(OperatorsTest, GatewayFixture)

BOOST_AUTO_TEST_CASE(metricsTellRequestsApartByKindServiceAndOutcome)
{
    // A desk complains of late streams. The engineer on call must see on one host's figures which kind of request and which service's
    // targets were slow or failed, and how many, without reading the log.
    addTarget("a", [](Connection &connection, const Request &request) { connection.answer(request, 200, "whole"); });
    exchange(request("POST", "/once/x", "body"));
    exchange(request("POST", "/safe/x", "body"));
    exchange("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nLovageloft-Request-Id: keyless\r\nContent-Length: 0\r\n\r\n");
    settle();
    const std::string text = askOperator("/metrics");
    BOOST_TEST(contains(text, R"(lovageloft_requests_ended_total{kind="non_idempotent",outcome="answered",service="s",status="200"} 1)"));
    BOOST_TEST(contains(text, R"(lovageloft_requests_ended_total{kind="idempotent",outcome="answered",service="s",status="200"} 1)"));
    BOOST_TEST(contains(text, R"(outcome="missing_key")"));
    BOOST_TEST(contains(text, R"(lovageloft_first_byte_seconds_bucket{kind="idempotent",service="s",le="+Inf"} 1)"));
    BOOST_TEST(contains(text, "# TYPE lovageloft_request_seconds histogram"));
    BOOST_TEST(contains(text, "lovageloft_targets_known 1"));
    BOOST_TEST(contains(text, "lovageloft_configuration_version 1"));
}

BOOST_AUTO_TEST_CASE(operatorsReadWhatTheHostBelieves)
{
    // An engineer asks a running host for its status, teams, targets, hosts and leader, and must get what it acts on, never a key.
    addTarget("a", [](Connection &connection, const Request &request) { connection.answer(request, 200, "whole"); });
    onLoop([](Gateway &gateway) { gateway.setLeader("host"); });
    BOOST_TEST(contains(askOperator("/operator/status"), R"("host":"host","phase":"serving")"));
    BOOST_TEST(contains(askOperator("/operator/teams"), R"({"teams":[{"team":"t",)"));
    BOOST_TEST(contains(askOperator("/operator/targets"), R"("target":"a","service":"s")"));
    BOOST_TEST(contains(askOperator("/operator/hosts"), R"("host":"host")"));
    BOOST_TEST(contains(askOperator("/operator/leader"), R"({"leader":"host","told_by":"host"})"));
    BOOST_TEST(contains(askOperator("/operator/rollouts"), R"({"rollouts":[]})"));
    BOOST_TEST(askOperator("/operator/nothing").empty());
    for (const char *path : {"/operator/status", "/operator/teams", "/operator/targets"}) {
        BOOST_TEST(!contains(askOperator(path), R"("k")"));
    }
}

BOOST_AUTO_TEST_CASE(newLimitsAreTakenWithoutANewStart)
{
    // The window within which a withdrawn key must have stopped working is shortened. A host that went on with the old one would honour
    // a key for longer than operators now count on.
    GatewayFixture host(false);
    host.configure(table(), std::chrono::seconds(3));
    host.addTarget("a", [](Connection &connection, const Request &request) { connection.answer(request, 200, "whole"); });
    BOOST_TEST(host.exchange(request("POST", "/safe/x", "body")).starts_with("HTTP/1.1 200 "));
    GatewayLimits limits;
    limits.keyProofWindow = std::chrono::seconds(1);
    limits.retries = {0.2, 50};
    host.onLoop([&limits](Gateway &gateway) { gateway.setLimits(limits); });
    BOOST_TEST(host.exchange(request("POST", "/safe/x", "body")).starts_with("HTTP/1.1 503 "));
    std::string name;
    host.onLoop([&name](Gateway &gateway) { name = gateway.hostName(); });
    BOOST_TEST(name == "host");
}

BOOST_AUTO_TEST_SUITE_END()
