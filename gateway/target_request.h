#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "decision/request_scheduler.h"
#include "gateway/cache_plan.h"
#include "gateway/protocol.h"
#include "gateway/request_intake.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// One attempt to send a request to a target.
struct TargetSend
{
    const Target &target;
    Duration timeLeft{};
    std::string_view lastEventId; ///< Event after which a stream resumes.
    const SchedulerAssignment &assignment;
    bool isExpectedLate = false; ///< The first token is expected after the route's latency target.
};

/// Makes what the gateway adds to the caller's request for one target. Fills in `salt` and `plan`, which the result refers to.
TargetRequest makeTargetRequest(const Gateway &gateway, const RequestIntake &intake, const TargetSend &send, std::string &salt, CachePlan &plan);

/// The header fields of a target's answer that are forwarded to the caller, as text.
std::string forwardedFields(const HttpHead &head, const TargetProtocol &protocol);

} // namespace Lovageloft
