#include "gateway/request_metrics.h"

#include <array>
#include <string>

namespace Lovageloft
{

namespace
{

std::string_view kindName(std::optional<RouteKind> kind)
{
    constexpr std::array<std::string_view, 3> names{"idempotent", "non_idempotent", "stream"};
    return kind ? names.at(static_cast<std::size_t>(*kind)) : std::string_view("none");
}

} // namespace

void observeRequest(Metrics &metrics, const EndedRequest &request)
{
    const std::string_view kind = kindName(request.kind);
    const std::string status = std::to_string(request.status);
    metrics.add("lovageloft_requests_ended_total", {{"kind", kind}, {"service", request.service}, {"outcome", request.outcome}, {"status", status}});
    if (request.sends > 0) {
        metrics.add("lovageloft_sends_total", {{"kind", kind}, {"service", request.service}}, static_cast<std::uint64_t>(request.sends));
    }
    metrics.observe("lovageloft_request_seconds", {{"kind", kind}, {"service", request.service}}, toSeconds(request.duration));
    if (request.queueTime) {
        metrics.observe("lovageloft_queue_seconds", {{"kind", kind}, {"service", request.service}}, toSeconds(*request.queueTime));
    }
    if (request.timeToFirstByte) {
        metrics.observe("lovageloft_first_byte_seconds", {{"kind", kind}, {"service", request.service}}, toSeconds(*request.timeToFirstByte));
    }
}

} // namespace Lovageloft
