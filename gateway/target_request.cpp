#include "gateway/target_request.h"

#include "gateway/engine_urgency.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

TargetRequest makeTargetRequest(const Gateway &gateway, const RequestIntake &intake, const TargetSend &send, std::string &salt, CachePlan &plan)
{
    TargetRequest request;
    request.targetId = send.target.id;
    request.team = intake.teamName();
    request.timeLeft = send.timeLeft;
    request.lastEventId = send.lastEventId;
    request.isForEngine = !intake.caller().model.empty() && !send.target.models.empty();
    if (!request.isForEngine) {
        return request;
    }
    request.weightsVersion = gateway.targets().weightsVersionOf(send.target, intake.caller().model);
    // Cache entries computed with older weights must not be used with newer ones, nor those of an isolated team for another team.
    salt = std::to_string(request.weightsVersion) + '/' + intake.cacheScope();
    request.cacheSalt = salt;
    const Target *holder = send.holder.empty() ? nullptr : gateway.targets().find(send.holder);
    plan = planCache({intake.caller().promptTokens.value_or(0), intake.sharedTokens(), send.cachedTokens, gateway.cacheStoreFor(send.target), holder});
    request.fetchFrom = plan.fetchFrom;
    request.saveTo = plan.saveTo;
    request.urgency = engineUrgency(intake.priority(), send.isExpectedLate);
    return request;
}

} // namespace Lovageloft
