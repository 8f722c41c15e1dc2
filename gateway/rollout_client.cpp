#include "gateway/rollout_client.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace Lovageloft
{

namespace
{

constexpr double slowFactor = 2;

/// Targets in one report; those with most bad answers.
constexpr std::size_t maxReportedTargets = 32;

} // namespace

std::uint64_t rolloutDigest(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

RolloutClient::RolloutClient(std::uint64_t process)
    : process_(process)
{
}

void RolloutClient::setOrder(std::int64_t revision)
{
    grants_.setOrder(revision);
    budget_ = {};
    routes_.clear();
    targets_.clear();
    excluded_.clear();
}

void RolloutClient::onPosition(std::int64_t position)
{
    grants_.onPosition(position);
}

bool RolloutClient::tryExpose(std::string_view route, TimePoint now)
{
    const std::uint64_t digest = rolloutDigest(route);
    budget_.onRequest(digest);
    return grants_.isValid(now) && budget_.tryExpose(digest);
}

bool RolloutClient::mayExpose(TimePoint now) const
{
    return grants_.isValid(now);
}

void RolloutClient::refund(std::string_view route)
{
    budget_.refund(rolloutDigest(route));
}

void RolloutClient::observe(const Observation &observation)
{
    const std::uint64_t targetDigest = rolloutDigest(observation.target);
    if (observation.isCandidate && excluded_.contains(targetDigest)) {
        return;
    }
    const std::uint64_t routeDigest = rolloutDigest(observation.route);
    Route &route = routes_[routeDigest];
    route.evidence.route = routeDigest;
    const bool isFailure = observation.outcome == Observation::Outcome::Failed;
    const auto slowness = isFailure ? std::nullopt : route.usual.slowness(observation.times);
    const bool isSlow = slowness && *slowness >= slowFactor;
    if (observation.outcome == Observation::Outcome::LeftEarly && !isSlow) {
        return;
    }
    AnswerCounts &counts = observation.isCandidate ? route.evidence.candidate : route.evidence.serving;
    if (isFailure) {
        ++counts.failed;
    } else {
        ++counts.answered[slownessBucket(slowness.value_or(1))];
    }
    if (observation.isCandidate) {
        TargetEvidence &target = targets_[targetDigest];
        target.target = targetDigest;
        ++target.answers;
        target.bad += isFailure || isSlow ? 1 : 0;
    } else if (observation.outcome == Observation::Outcome::Answered) {
        route.usual.add(observation.times);
    }
}

RolloutReport RolloutClient::makeReport(TimePoint now)
{
    RolloutReport report;
    report.id = grants_.onReport(now);
    report.usage = {process_, budget_.requests(), budget_.exposed(), budget_.allowance()};
    report.evidence.process = process_;
    for (const auto &[digest, route] : routes_) {
        report.evidence.routes.push_back(route.evidence);
    }
    std::vector<TargetEvidence> &targets = report.evidence.targets;
    std::transform(targets_.begin(), targets_.end(), std::back_inserter(targets), [](const auto &entry) { return entry.second; });
    std::sort(targets.begin(), targets.end(), [](const auto &left, const auto &right) { return left.bad > right.bad; });
    targets.resize(std::min(targets.size(), maxReportedTargets));
    return report;
}

bool RolloutClient::onReply(const RolloutReply &reply)
{
    if (!grants_.onGrant(reply.grant)) {
        return false;
    }
    budget_.setAllowance(reply.allowance);
    std::set<std::uint64_t> excluded(reply.excludedTargets.begin(), reply.excludedTargets.end());
    const bool hasChanged = excluded != excluded_;
    excluded_ = std::move(excluded);
    return hasChanged;
}

const std::set<std::uint64_t> &RolloutClient::excludedTargets() const
{
    return excluded_;
}

std::uint32_t RolloutClient::exposed() const
{
    return budget_.exposed();
}

} // namespace Lovageloft
