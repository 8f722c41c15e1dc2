#pragma once

#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/result_code.h"

namespace Poco::Net
{
class HTTPServerResponse;
}

namespace Lovageloft
{

/// A final answer to a request that is not carried out, or whose outcome is not known.
struct Refusal
{
    Reason reason;
    RunState run = RunState::NotRun;
    Duration retryAfter{}; ///< When to come back; zero where coming back won't help.
};

/// Counts a request by the code of its final answer.
void countRequest(Metrics &metrics, ResultCode code);

/// The body of a refusal: `{"error":{"code":N,"type":NAME,"message":TEXT,"run":STATE,"retry_after_ms":N},...}` in the
/// shape that OpenAI-style clients read.
std::string refusalBody(const Refusal &refusal, std::string_view requestId);

/// Sends a refusal whole, with Retry-After in full seconds. The connection is kept open only if `keepsConnection`.
void sendRefusal(Poco::Net::HTTPServerResponse &response, const Refusal &refusal, std::string_view requestId, bool keepsConnection);

/// Sends a JSON answer whole.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, std::string_view body);

} // namespace Lovageloft
