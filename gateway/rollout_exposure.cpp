#include "gateway/rollout_exposure.h"

#include <algorithm>

#include "gateway/gateway.h"

namespace Lovageloft
{

RolloutExposure::RolloutExposure(Gateway &gateway, const RequestIntake &intake)
    : gateway_(gateway)
    , intake_(intake)
{
}

void RolloutExposure::begin()
{
    RolloutClient *rollout = gateway_.rollouts().running(intake_.service());
    const bool isResumed = !intake_.caller().lastEventId.empty();
    isPending_ = rollout != nullptr && rollout->tryExpose(intake_.route()->name, BootClock::now()) && !isResumed;
}

bool RolloutExposure::isPending() const
{
    return isPending_;
}

std::string_view RolloutExposure::pool() const
{
    return isPending_ ? rolloutPool : std::string_view();
}

bool RolloutExposure::hasLapsed(TimePoint now) const
{
    const RolloutClient *rollout = gateway_.rollouts().running(intake_.service());
    return isPending_ && (rollout == nullptr || !rollout->mayExpose(now));
}

void RolloutExposure::withdraw()
{
    if (!isPending_) {
        return;
    }
    isPending_ = false;
    if (RolloutClient *rollout = gateway_.rollouts().running(intake_.service())) {
        rollout->refund(intake_.route()->name);
    }
}

void RolloutExposure::onSent(const Target &target, const SchedulerAssignment &assignment, TimePoint now)
{
    isPending_ = false;
    isObserved_ = !wasSent_ && gateway_.rollouts().running(intake_.service()) != nullptr;
    wasSent_ = true;
    if (!isObserved_) {
        return;
    }
    isCandidate_ = gateway_.rollouts().isCandidate(target);
    target_ = target.id;
    version_ = target.softwareVersion;
    expectedSeconds_ = target.models.empty() ? toSeconds(intake_.route()->latencyTarget) : assignment.expectedFirstTokenSeconds;
    sentAt_ = now;
}

void RolloutExposure::onFirstByte(TimePoint now)
{
    firstByteAt_ = firstByteAt_.value_or(now);
}

void RolloutExposure::onEnded(DispatchResult result, TimePoint now)
{
    using Outcome = RolloutClient::Observation::Outcome;
    RolloutClient *rollout = isObserved_ ? gateway_.rollouts().running(intake_.service()) : nullptr;
    isObserved_ = false;
    if (rollout == nullptr || result == DispatchResult::Declined) {
        return;
    }
    RolloutClient::Observation observation;
    observation.route = intake_.route()->name;
    observation.target = target_;
    observation.isCandidate = isCandidate_;
    observation.outcome = result == DispatchResult::Finished ? Outcome::Answered : result == DispatchResult::Failed ? Outcome::Failed : Outcome::LeftEarly;
    observation.times = relativeTimes(firstByteAt_.value_or(now) - sentAt_, now - sentAt_, expectedSeconds_, toSeconds(intake_.route()->latencyTarget));
    rollout->observe(observation);
    const std::string_view outcome = result == DispatchResult::Finished ? "answered" : result == DispatchResult::Failed ? "failed" : "caller_gone";
    Metrics &metrics = gateway_.metrics();
    metrics.add("lovageloft_version_requests_total", {{"service", intake_.service()}, {"version", version_}, {"outcome", outcome}});
    if (firstByteAt_) {
        metrics.observe("lovageloft_version_first_byte_seconds", {{"service", intake_.service()}, {"version", version_}}, toSeconds(*firstByteAt_ - sentAt_));
    }
}

} // namespace Lovageloft
