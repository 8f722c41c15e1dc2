#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

/// Callers that send completion requests on many connections at once and check each response.
namespace Lovageloft::StandIns
{

/// Parameters of the callers.
struct StandInCallerOptions
{
    std::string address; ///< "ADDRESS:PORT".
    std::string key; ///< Sent as a bearer token unless empty.
    std::string model = "model";
    std::size_t streams = 1; ///< Connections, each with one request at a time.
    std::int64_t requests = 1; ///< In total.
    std::size_t promptBytes = 64;
    std::size_t sharedBytes = 64; ///< Leading bytes of the prompt that are the same in all requests.
    std::int64_t maxCompletionTokens = 16;
    bool isStream = false;
    bool acceptsAnyId = false; ///< The response need not have the request's X-Request-Id.
    Duration timeout = std::chrono::seconds(30); ///< Maximum time without a byte of the response.
};

/// Outcome of the requests.
struct StandInCallerResult
{
    std::int64_t complete = 0;
    std::int64_t chunks = 0; ///< Server-sent events with tokens, or complete response bodies.
    std::map<std::string, std::int64_t> errors; ///< Counts by "STATUS", "STATUS/CODE" or the fault found.
    std::vector<Duration> firstTokenTimes; ///< Of complete responses, in ascending order.
    Duration elapsed{};

    /// One line of JSON: counts, errors, chunks a second, and time to first token in microseconds.
    std::string toJson() const;
};

/// Sends all requests and waits for the responses.
StandInCallerResult runStandInCallers(const StandInCallerOptions &options);

} // namespace Lovageloft::StandIns
