#pragma once

#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/metrics.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

/// How a request ended, for its last log line and its figures.
struct EndedRequest
{
    std::optional<RouteKind> kind; ///< Nothing if no route was found.
    std::string_view service; ///< Of the targets that it was meant for; empty if it was refused before.
    std::string_view outcome; ///< As in the log: "answered", a result code's name, or how it broke off.
    int status = 0; ///< Of the answer; 0 without one.
    int sends = 0; ///< Targets that it was sent to.
    Duration time{}; ///< From reading it to its end.
    std::optional<Duration> queued; ///< From reading it to its first target.
    std::optional<Duration> firstByte; ///< From reading it to the first byte of its answer.
    std::string_view target; ///< The last one; empty if there was none.
    std::size_t bytes = 0; ///< Of the answer's body.
};

/// Counts a request and adds its times to the histograms, told apart by route kind, service and outcome.
void observeRequest(Metrics &metrics, const EndedRequest &request);

} // namespace Lovageloft
