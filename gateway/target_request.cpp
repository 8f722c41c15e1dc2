#include "gateway/target_request.h"

#include <vector>

#include "gateway/engine_urgency.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

/// The other engines and the cache stores that are expected to hold shared parts which the target lacks.
std::vector<CacheSource> cacheSources(const Gateway &gateway, const TargetSend &send)
{
    const SchedulerAssignment &assignment = send.assignment;
    if (assignment.announcedBlocks.empty() || assignment.holdsAllBlocks) {
        return {};
    }
    std::vector<CacheSource> sources = gateway.cacheStores().sourcesOf(assignment.announcedBlocks.back(), send.target.dataCentre);
    for (const std::string &name : assignment.holders) {
        if (const Target *holder = gateway.targets().find(name)) {
            sources.push_back({hostAddressText(holder->address), false, holder->dataCentre == send.target.dataCentre});
        }
    }
    return sources;
}

} // namespace

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
    const std::vector<CacheSource> sources = cacheSources(gateway, send);
    const CacheSource *source = chooseCacheSource(sources);
    plan = planCache({intake.caller().promptTokens.value_or(0),
                      intake.sharedTokens(),
                      send.assignment.expectedCachedTokens,
                      gateway.cacheStores().storeFor(send.target.dataCentre),
                      source != nullptr ? std::string_view(source->address) : std::string_view()});
    request.fetchFrom = plan.fetchFrom;
    request.saveTo = plan.saveTo;
    request.urgency = engineUrgency(intake.priority(), send.isExpectedLate);
    return request;
}

std::string forwardedFields(const HttpHead &head, const TargetProtocol &protocol)
{
    std::string fields;
    for (const HttpField &field : head.fields) {
        if (isHopByHop(head, field.name) || protocol.isPrivateField(field.name)) {
            continue;
        }
        appendField(fields, field.name, field.value);
    }
    return fields;
}

} // namespace Lovageloft
