#include "servers/refusal.h"

#include <chrono>

#include <Poco/Net/HTTPServerResponse.h>

#include "core/log.h"

namespace Lovageloft
{

void countRequest(Metrics &metrics, ResultCode code)
{
    metrics.add("lovageloft_requests_total", {{"code", resultCodeInfo(code).name}});
}

std::string refusalBody(const Refusal &refusal, std::string_view requestId)
{
    const ResultCodeInfo &info = resultCodeInfo(refusal.reason.code);
    std::string body = "{\"error\":{\"message\":";
    appendJsonString(body, refusal.reason.text.empty() ? info.meaning : std::string_view(refusal.reason.text));
    body += ",\"type\":";
    appendJsonString(body, info.name);
    body += ",\"code\":" + std::to_string(static_cast<int>(info.code));
    body += refusal.run == RunState::NotRun ? R"(,"run":"not_run")" : R"(,"run":"may_have_run")";
    if (refusal.retryAfter > Duration::zero()) {
        body += ",\"retry_after_ms\":" + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter).count());
    }
    body += ",\"request_id\":";
    appendJsonString(body, requestId);
    body += "}}";
    return body;
}

void sendRefusal(Poco::Net::HTTPServerResponse &response, const Refusal &refusal, std::string_view requestId, bool keepsConnection)
{
    if (!keepsConnection) {
        response.setKeepAlive(false);
    }
    if (refusal.retryAfter > Duration::zero()) {
        response.set("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count()));
    }
    sendJson(response, resultCodeInfo(refusal.reason.code).httpStatus, refusalBody(refusal, requestId));
}

void sendJson(Poco::Net::HTTPServerResponse &response, int status, std::string_view body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType("application/json");
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    // Not sendBuffer: that leaves the body out where the request could not even be read.
    response.send().write(body.data(), static_cast<std::streamsize>(body.size())).flush();
}

} // namespace Lovageloft
