#include <algorithm>
#include <fstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "replay/replay.h"

using namespace Lovageloft;

namespace
{

const TraceShape &shapeNamed(std::string_view name)
{
    const std::span<const TraceShape> shapes = traceShapes();
    return *std::find_if(shapes.begin(), shapes.end(), [name](const TraceShape &shape) { return shape.name == name; });
}

ReplayResult replay(const Trace &trace, std::string_view strategy)
{
    return Replay(trace, strategySpec(strategy), 1).run();
}

/// Checks the expectation of the trace against the oracle and against least-loaded, the baseline.
void checkOutcome(const Trace &trace, std::string_view deployment)
{
    const Expectation &expected = trace.expected;
    const ReplayResult ours = replay(trace, "ours");
    const ReplayResult oracle = replay(trace, "oracle");
    const ReplayResult leastLoaded = replay(trace, "least-loaded");
    BOOST_TEST_CONTEXT(deployment << " " << trace.name << ": hit rate " << ours.hitRate << " (oracle " << oracle.hitRate << "), p99 " << ours.p99FirstToken
                                  << " s (oracle " << oracle.p99FirstToken << ", least loaded " << leastLoaded.p99FirstToken << "), share "
                                  << ours.worstTeamShare << ", wrongly refused " << ours.wronglyRefused << " of " << ours.inRateRequests)
    {
        BOOST_TEST(ours.hitRate >= expected.minHitRateOfOracle * oracle.hitRate);
        if (expected.maxP99OfOracle > 0) {
            BOOST_TEST(ours.p99FirstToken <= expected.maxP99OfOracle * oracle.p99FirstToken);
        }
        if (expected.maxP99OfLeastLoaded > 0) {
            BOOST_TEST(ours.p99FirstToken <= expected.maxP99OfLeastLoaded * leastLoaded.p99FirstToken);
        }
        BOOST_TEST(ours.worstTeamShare >= expected.worstTeamShare);
        BOOST_TEST(static_cast<double>(ours.wronglyRefused) <= expected.maxWrongRefusals * static_cast<double>(ours.inRateRequests));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplayTest)

BOOST_AUTO_TEST_CASE(everyTraceMeetsItsExpectation)
{
    // trace.cpp has the expectations. The trace "saturation" is shortened to a minute; replay_table runs it in full.
    for (const Deployment deployment : {Deployment::YearbookDesk, Deployment::Pamoja}) {
        for (const TraceShape &shape : traceShapes()) {
            const bool isLong = shape.seconds > 300;
            checkOutcome(makeTrace(shape, deployment, 1, isLong ? 0.1 : 1), deploymentName(deployment));
        }
    }
}

BOOST_AUTO_TEST_CASE(theSameSeedGivesTheSameResult)
{
    const Trace trace = makeTrace(shapeNamed("three-crashes"), Deployment::Pamoja, 3, 0.3);
    const ReplayResult first = replay(trace, "ours");
    const ReplayResult second = replay(trace, "ours");
    BOOST_TEST(first.p99FirstToken == second.p99FirstToken);
    BOOST_TEST(first.hitRate == second.hitRate);
    BOOST_TEST(first.served == second.served);
}

BOOST_AUTO_TEST_CASE(twiceTheCapacityServesAsMuchAsOnce)
{
    // Load far beyond capacity arrives at once. If engines then recompute each prefix over and over, the fleet serves fewer requests
    // than at normal load, and that persists after the peak.
    for (const Deployment deployment : {Deployment::YearbookDesk, Deployment::Pamoja}) {
        const ReplayResult once = replay(makeTrace(shapeNamed("saturation"), deployment, 1, 0.1, 0.5), "ours");
        const ReplayResult twice = replay(makeTrace(shapeNamed("saturation"), deployment, 1, 0.1, 1), "ours");
        BOOST_TEST_CONTEXT(deploymentName(deployment) << ": " << once.goodput << " and " << twice.goodput << " tokens a second")
        {
            BOOST_TEST(twice.goodput >= 0.95 * once.goodput);
        }
    }
}

BOOST_AUTO_TEST_CASE(aRecordedTraceIsReadAndServed)
{
    std::ifstream file("tests/decision/traces/pamoja-morning.jsonl");
    Trace trace{.name = "pamoja-morning", .seconds = 20, .requests = {}, .faults = {}, .expected = {}};
    for (std::string line; std::getline(file, line);) {
        Reason reason;
        const std::optional<TraceRequest> request = parseTraceRequest(line, reason);
        BOOST_REQUIRE_MESSAGE(request.has_value(), reason.text);
        BOOST_REQUIRE(formatTraceRequest(*request) == line);
        trace.requests.push_back(*request);
    }
    BOOST_REQUIRE(trace.requests.size() > 100U);
    const ReplayResult result = replay(trace, "ours");
    BOOST_TEST(result.refused == 0U);
    BOOST_TEST(result.served == result.requests);
    BOOST_TEST(result.p99FirstToken <= replay(trace, "bounded-hash").p99FirstToken);
    BOOST_TEST(result.p99FirstToken <= 0.3 * replay(trace, "least-loaded").p99FirstToken);
    Reason reason;
    BOOST_TEST(!parseTraceRequest("{\"arrival\":1}", reason).has_value());
    BOOST_TEST((reason.code == ResultCode::MalformedJson));
}

BOOST_AUTO_TEST_SUITE_END()
