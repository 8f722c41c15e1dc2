#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"

/// Traces of requests and faults that placing and queueing are replayed on, and the seeded generators that make them.
namespace Lovageloft
{

/// A piece of a prompt that other prompts may begin with as well, at the same place.
struct TraceSegment
{
    std::uint32_t id = 0;
    std::uint32_t blocks = 0;
};

/// One request as it came in.
struct TraceRequest
{
    double arrival = 0; ///< Seconds.
    std::uint32_t team = 0;
    std::uint32_t model = 0;
    std::vector<TraceSegment> prefix;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    double deadline = 10; ///< Seconds after arrival until the first token is of use.
    bool isRepeatable = true;
};

enum class FaultKind : std::uint8_t
{
    Speed, ///< The engine runs at `factor` of its speed from now on.
    Crash, ///< The engine fails all it has and comes back empty after `factor` seconds.
    NewWeights, ///< The engine loads the next version for `factor` seconds.
    RestartRouters, ///< All routers forget what they knew.
};

struct Fault
{
    double time = 0;
    FaultKind kind = FaultKind::Speed;
    std::uint32_t engine = 0;
    double factor = 1;
};

/// What must come out of our policy on a trace, stated beside it. 0 states nothing.
struct Expectation
{
    double hitRateOfOracle = 0; ///< At least.
    double tailOfOracle = 0; ///< p99 of the time to the first token, at most.
    double tailOfLeastLoaded = 0; ///< At most.
    double worstTeamShare = 0; ///< At least.
    double wrongRefusals = 0; ///< Of all requests inside rate and capacity, at most.
};

struct Trace
{
    std::string name;
    double seconds = 0;
    std::vector<TraceRequest> requests;
    std::vector<Fault> faults;
    double reportLag = 0.3; ///< Seconds until a load report is known.
    double eventLoss = 0.01; ///< Part of the batches of cache events that a router misses.
    std::uint32_t floodingTeam = ~0U; ///< The team beyond its rate; its refusals are rightful.
    bool isWithinCapacity = true; ///< Otherwise refusals are rightful.
    Expectation expected;
};

/// Writes a request as one JSON line and reads it back.
std::string formatTraceRequest(const TraceRequest &request);
std::optional<TraceRequest> parseTraceRequest(std::string_view line, Reason &reason);

/// The two deployments that the traces are shaped after.
enum class Deployment : std::uint8_t
{
    YearbookDesk, ///< Nested chapters and tables, far more than one engine caches.
    Pamoja, ///< One price book a team beside short classifications.
};

std::string_view deploymentName(Deployment deployment);

struct TraceShape;

/// The names of all shapes of traces.
std::span<const TraceShape> traceShapes();

/// Makes a trace; the same for the same arguments. `scale` stretches its length: 1 is the full trace.
Trace makeTrace(const TraceShape &shape, Deployment deployment, std::uint64_t seed, double scale, double load = 1);

/// A row of the table of traces.
struct TraceShape
{
    std::string_view name;
    double seconds = 0;
    double load = 1; ///< Of the deployment's usual rate.
    void (*shape)(Trace &trace, double scale) = nullptr; ///< Faults and conditions.
    double (*rateAt)(double part, std::uint32_t team) = nullptr; ///< Of the team's usual rate, at a part of the trace.
    double hotPart = 0; ///< Requests that go to one hot chapter, which moves three times.
    double longPart = 0; ///< Requests that are 60,000 tokens of new text; as many are 200 tokens.
    Expectation expected;
};

} // namespace Lovageloft
