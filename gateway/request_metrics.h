#pragma once

#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/metrics.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

/// Result of a request, for its last log line and the metrics.
struct EndedRequest
{
    std::optional<RouteKind> kind; ///< Not set if no route was found.
    std::string_view service; ///< Service that the request was routed to; empty if it was refused before.
    std::string_view outcome; ///< As in the log: "answered", a result code's name, "caller_gone", "broken_off" or "abandoned".
    int status = 0; ///< HTTP status of the last response read or generated, even if the caller could not get it any more; 0 without one.
    int sends = 0; ///< Targets that received the request.
    Duration duration{}; ///< From reading the request to its end.
    std::optional<Duration> queueTime; ///< From reading the request to sending it to the first target.
    std::optional<Duration> timeToFirstByte; ///< From reading the request to the first byte of the response.
    std::string_view target; ///< Id of the last target; empty if there was none.
    std::string_view relay; ///< Host that relayed the connection to the last target; empty if it was direct.
    std::size_t bytes = 0; ///< Bytes of the target's response body relayed to the caller; 0 for refusals.
};

/// Counts a request and adds its times to the histograms. The labels are route kind and service, for the count also outcome and status.
void observeRequest(Metrics &metrics, const EndedRequest &request);

} // namespace Lovageloft
