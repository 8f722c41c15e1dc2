#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gateway/cache_plan.h"
#include "gateway/protocol.h"
#include "gateway/request_intake.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// One send of a request.
struct TargetSend
{
    const Target &target;
    Duration timeLeft{};
    std::string_view lastEventId; ///< After which a stream goes on.
    std::uint32_t cachedTokens = 0; ///< Prompt tokens that the target is believed to hold.
    std::string_view holder; ///< Another engine that is believed to hold more of the prompt; may be empty.
    bool isExpectedLate = false; ///< The first token is expected after the route's latency target.
};

/// What the target is told beside the request itself. The result refers to `salt` and `plan`, which it fills in.
TargetRequest makeTargetRequest(const Gateway &gateway, const RequestIntake &intake, const TargetSend &send, std::string &salt, CachePlan &plan);

} // namespace Lovageloft
