#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"

/// Traces of requests and faults for replaying placement and queueing, and their seeded generators.
namespace Lovageloft
{

/// A part of a prompt that other prompts may share at the same position.
struct TraceSegment
{
    std::uint32_t id = 0;
    std::uint32_t blocks = 0;
};

/// One request of a trace.
struct TraceRequest
{
    double arrival = 0; ///< Seconds.
    std::uint32_t team = 0;
    std::uint32_t model = 0;
    std::vector<TraceSegment> prefix;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    double deadline = 10; ///< Maximum seconds from arrival to the first token.
    bool isRepeatable = true;
};

enum class FaultKind : std::uint8_t
{
    Speed, ///< The engine runs at `factor` times its normal speed from now on.
    Crash, ///< The engine fails all its requests and restarts with an empty cache after `factor` seconds.
    NewWeights, ///< The engine is drained and loads the next version for `factor` seconds.
    RestartRouters, ///< All routers lose their state.
};

struct Fault
{
    double time = 0;
    FaultKind kind = FaultKind::Speed;
    std::uint32_t engine = 0;
    double factor = 1; ///< Speed factor or seconds, see FaultKind.
};

/// Required result of the strategy "ours", the router's own Placement, on a trace. 0 means no requirement, except for maxWrongRefusals,
/// where it allows none.
struct Expectation
{
    double minHitRateOfOracle = 0; ///< Minimum hit rate relative to the oracle's.
    double maxP99OfOracle = 0; ///< Maximum p99 time to the first token relative to the oracle's.
    double maxP99OfLeastLoaded = 0; ///< Maximum p99 time to the first token relative to the strategy "least-loaded".
    double worstTeamShare = 0; ///< Minimum of ReplayResult::worstTeamShare.
    double maxWrongRefusals = 0; ///< Maximum fraction of the requests within rate and capacity that are refused.
};

struct Trace
{
    std::string name;
    double seconds = 0;
    std::vector<TraceRequest> requests;
    std::vector<Fault> faults;
    double reportLag = 0.3; ///< Seconds until a load report reaches the routers.
    double eventLoss = 0.01; ///< Fraction of the batches of cache events that a router misses.
    std::uint32_t floodingTeam = ~0U; ///< The team that exceeds its rate; its requests may be refused.
    bool isWithinCapacity = true; ///< If false, requests may be refused.
    Expectation expected;
};

/// Formats a request as one JSON line; parseTraceRequest() reads it back.
std::string formatTraceRequest(const TraceRequest &request);
std::optional<TraceRequest> parseTraceRequest(std::string_view line, Reason &reason);

/// The two sample deployments that the traces model.
enum class Deployment : std::uint8_t
{
    YearbookDesk, ///< Nested chapters and tables, far more than fit one engine's cache.
    Pamoja, ///< One price book per team, and short classifications.
};

std::string_view deploymentName(Deployment deployment);

struct TraceShape;

/// Returns all trace shapes.
std::span<const TraceShape> traceShapes();

/// Generates a trace, deterministically for the same arguments. `scale` multiplies its length, `load` its request rate.
Trace makeTrace(const TraceShape &shape, Deployment deployment, std::uint64_t seed, double scale, double load = 1);

/// Parameters of one kind of trace.
struct TraceShape
{
    std::string_view name;
    double seconds = 0;
    double load = 1; ///< Request rate relative to the deployment's usual rate.
    void (*applyConditions)(Trace &trace, double scale) = nullptr; ///< Sets the faults and conditions.
    double (*rateAt)(double progress, std::uint32_t team) = nullptr; ///< Rate relative to the team's usual one, at a fraction of the trace's length.
    double hotFraction = 0; ///< Fraction of requests for one hot chapter, which changes three times.
    double longFraction = 0; ///< Fraction of requests with 60,000 tokens of unshared text; as many have 200 tokens.
    Expectation expected;
};

} // namespace Lovageloft
