#include "gateway/request_intake.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include <xxhash.h>

#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

Priority priorityClass(int priority)
{
    constexpr std::array<Priority, 3> classes{Priority::High, Priority::Normal, Priority::Low};
    return classes.at(static_cast<std::size_t>(std::clamp(priority, 0, 2)));
}

} // namespace

RequestIntake::RequestIntake(const Gateway &gateway, const HttpHead &head)
    : gateway_(gateway)
    , head_(head)
{
}

bool RequestIntake::run(Reason &reason)
{
    return std::all_of(filters().begin(), filters().end(), [&](Filter filter) { return (this->*filter)(reason); });
}

bool RequestIntake::recheck(Reason &reason)
{
    const auto newest = gateway_.table();
    if (newest == table_ && (team_ == nullptr || gateway_.isKeyProofValid(BootClock::now()))) {
        return true;
    }
    route_ = nullptr;
    team_ = nullptr;
    table_ = newest;
    const std::string oldService = service_;
    if (!findRoute(reason) || !authenticate(reason)) {
        return false;
    }
    const bool isSameService =
        std::any_of(route_->split.begin(), route_->split.end(), [&](const TrafficShare &share) { return share.service == oldService && share.weight > 0; });
    if (isSameService) {
        service_ = oldService;
    } else {
        reason = {ResultCode::NoTarget, "the route has moved to another service"};
    }
    return isSameService;
}

const CallerRequest &RequestIntake::caller() const
{
    return caller_;
}

std::int64_t RequestIntake::configurationVersion() const
{
    return table_ != nullptr ? table_->version : 0;
}

const Route *RequestIntake::route() const
{
    return route_;
}

bool RequestIntake::isStream() const
{
    return route_->kind == RouteKind::Stream;
}

const std::string &RequestIntake::service() const
{
    return service_;
}

const std::string &RequestIntake::teamName() const
{
    return teamName_;
}

bool RequestIntake::isResumption() const
{
    return isStream() && route_->isResumable && !caller_.lastEventId.empty();
}

int RequestIntake::priority() const
{
    return team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
}

std::string RequestIntake::cacheScope() const
{
    return team_ != nullptr && team_->isIsolated ? team_->name : std::string();
}

std::vector<RequestFeature> RequestIntake::features(std::string_view body) const
{
    constexpr std::size_t maxParts = 16;
    constexpr XXH64_hash_t partSeed = 1;
    std::uint64_t digest = 0;
    for (const std::string_view part :
         {std::string_view(head_.method), head_.find("Host"), std::string_view(head_.path), std::string_view(caller_.key), body}) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    std::vector<RequestFeature> features{RequestFeature{digest}};
    const std::span<const PromptPart> parts = sharedParts();
    for (const PromptPart &part : parts.first(std::min(parts.size(), maxParts))) {
        features.push_back(RequestFeature{XXH3_64bits_withSeed(&part.hash, sizeof part.hash, partSeed)});
    }
    return features;
}

double RequestIntake::chargedTokens() const
{
    return caller_.promptTokens ? static_cast<double>(*caller_.promptTokens) + caller_.outputTokens : team_->plainTokens;
}

std::span<const PromptPart> RequestIntake::sharedParts() const
{
    const std::span<const PromptPart> parts(caller_.parts);
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::uint32_t RequestIntake::sharedTokens() const
{
    const auto parts = sharedParts();
    return std::accumulate(parts.begin(), parts.end(), 0U, [](std::uint32_t sum, const PromptPart &part) { return sum + part.tokens; });
}

SchedulerRequest RequestIntake::schedulerRequest() const
{
    SchedulerRequest request;
    request.team = teamName_;
    request.keyId = teamName_;
    request.cacheSalt = cacheScope();
    request.model = gateway_.targets().schedulerModel(service_, caller_.model);
    request.priority = priorityClass(priority());
    request.promptTokens = caller_.promptTokens.value_or(serviceCallWorkTokens);
    request.outputTokens = caller_.outputTokens;
    digestParts(sharedParts(), request.blockDigests);
    request.partEnds = partEnds(sharedParts());
    return request;
}

std::span<const RequestIntake::Filter> RequestIntake::filters()
{
    static constexpr std::array<Filter, 4> table{
        &RequestIntake::readHead,
        &RequestIntake::checkConfigured,
        &RequestIntake::findRoute,
        &RequestIntake::authenticate,
    };
    return table;
}

bool RequestIntake::readHead(Reason &reason)
{
    auto caller = gateway_.callerProtocol().read(head_, reason);
    if (!caller) {
        return false;
    }
    caller_ = std::move(*caller);
    return true;
}

bool RequestIntake::checkConfigured(Reason &reason)
{
    table_ = gateway_.table();
    if (table_ == nullptr) {
        reason = {ResultCode::NotFresh, "no configuration has been read yet"};
        return false;
    }
    if (gateway_.isNewerTableOverdue(BootClock::now())) {
        reason = {ResultCode::NotFresh, "a newer configuration is in force and has not been read yet"};
        return false;
    }
    return true;
}

bool RequestIntake::findRoute(Reason &reason)
{
    route_ = table_->findRoute(head_.find("Host"), head_.path);
    if (route_ != nullptr) {
        // A resumed stream goes to the service that began it.
        service_ = chooseService(*route_, isResumption() && !caller_.resumes.empty() ? caller_.resumes : caller_.id);
        return true;
    }
    reason = {ResultCode::UnknownPath, "no route has this host and path"};
    if (!gateway_.isTableProofRecent(BootClock::now())) {
        // The route may be newer than this host's configuration, and callers don't retry after "not found".
        reason = {ResultCode::NotFresh, "the configuration is too old to say that there is no such route"};
    }
    return false;
}

bool RequestIntake::authenticate(Reason &reason)
{
    team_ = nullptr;
    if (route_->isPublic || !table_->requiresKeys) {
        return true;
    }
    if (!gateway_.isKeyProofValid(BootClock::now())) {
        reason = {ResultCode::NotFresh, "no recent proof that the key has not been withdrawn"};
        return false;
    }
    team_ = table_->findTeam(caller_.key);
    if (team_ != nullptr) {
        teamName_ = team_->name;
        return true;
    }
    reason = {caller_.key.empty() ? ResultCode::MissingKey : ResultCode::UnknownKey, "no team has this key"};
    if (!gateway_.isTableProofRecent(BootClock::now())) {
        reason = {ResultCode::NotFresh, "the configuration is too old to say that the key is unknown"};
    }
    return false;
}

} // namespace Lovageloft
