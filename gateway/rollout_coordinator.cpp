#include "gateway/rollout_coordinator.h"

#include <algorithm>
#include <utility>

#include "core/log.h"

namespace Lovageloft
{

RolloutCoordinator::RolloutCoordinator(std::string service)
    : service_(std::move(service))
{
}

void RolloutCoordinator::setOrder(const SeenRolloutOrder &seen, TimePoint now)
{
    if (seen.revision == leader_.orderRevision() && leader_.order()) {
        return;
    }
    if (seen.order.version.empty()) {
        leader_.removeOrder(); // An order that can't be read moves nothing.
        return;
    }
    leader_.setOrder(seen.order, seen.revision, seen.seenAt, now);
    evidence_ = RolloutEvidence();
    pool_ = {};
    answersBefore_ = 0;
}

void RolloutCoordinator::removeOrder()
{
    leader_.removeOrder();
}

void RolloutCoordinator::setRecord(const RolloutRecord &record, TimePoint now)
{
    const int before = stage();
    leader_.setRecord(record, now);
    if (stage() != before) {
        answersBefore_ = evidence_.answers();
    }
}

void RolloutCoordinator::setHosts(const std::vector<std::string> &hosts, TimePoint now)
{
    leader_.setHosts(hosts, now);
}

std::optional<RolloutReply> RolloutCoordinator::onReport(const std::string &host, RolloutReport &&report, const Context &context, TimePoint now)
{
    leader_.onReport(host, report.progress, now);
    if (!leader_.order() || report.progress.order != leader_.orderRevision() || !leader_.record()) {
        return std::nullopt;
    }
    const RolloutPlan limits = plan(context);
    pool_.setLimits(limits.share(stage()), limits.slack(leader_.elapsed(now)));
    pool_.onReport(host, report.usage);
    evidence_.setHost(host, std::move(report.evidence));
    RolloutReply reply;
    reply.service = service_;
    reply.grant = {report.id, report.progress.order, leader_.record()->position, {}};
    const bool isInTime = leader_.elapsed(now) < leader_.order()->duration;
    const bool isExposing = context.isLeading && leader_.isExposing() && leader_.hasHeardAll(now) && isInTime;
    if (isExposing) {
        reply.grant.validFor = std::clamp(context.leaseUntil - now, Duration::zero(), limits.grantTime());
    }
    reply.allowance = pool_.allowanceOf(host, !isExposing || limits.isHeld(stage(), context.servingTargets, leader_.elapsed(now)));
    const std::set<std::uint64_t> &excluded = evidence_.excludedTargets();
    reply.excludedTargets.assign(excluded.begin(), excluded.end());
    return reply;
}

std::optional<RolloutRecord> RolloutCoordinator::step(const Context &context, TimePoint now)
{
    leader_.setSilentTime(context.silentTime);
    const RolloutPlan limits = plan(context);
    if (const auto excluded = evidence_.judge()) {
        writeLog(LogLevel::Warning, "rollout_target_excluded", {{"service", service_}, {"target", static_cast<std::int64_t>(*excluded)}});
    }
    const RolloutPlan::Progress progress{
        leader_.elapsed(now), evidence_.answers() - std::min(evidence_.answers(), answersBefore_), evidence_.recentAnswers(), evidence_.level()};
    RolloutLeader::Facts facts;
    facts.isLeading = context.isLeading;
    facts.servingVersion = context.servingVersion;
    facts.lastStage = RolloutPlan::stageCount - 1;
    const RolloutPlan::Outcome outcome = limits.outcome(progress);
    const bool isRunning = leader_.isExposing() && leader_.hasHeardAll(now);
    facts.isBad = outcome == RolloutPlan::Outcome::Bad && (isRunning || progress.level >= 1);
    facts.isGood = isRunning && outcome == RolloutPlan::Outcome::Good;
    facts.mayAdvance = isRunning && limits.mayAdvance(stage(), progress);
    auto record = leader_.step(facts, now);
    if (record && record->position != loggedPosition_) {
        loggedPosition_ = record->position;
        writeLog(LogLevel::Info,
                 "rollout_step",
                 {{"service", service_},
                  {"version", record->version},
                  {"phase", rolloutPhaseName(record->phase)},
                  {"stage", std::int64_t{record->stage}},
                  {"position", record->position},
                  {"elapsed_ms", toMillis(progress.elapsed)},
                  {"answers", std::int64_t{evidence_.answers()}},
                  {"level", progress.level}});
    }
    return record;
}

const RolloutLeader &RolloutCoordinator::leader() const
{
    return leader_;
}

RolloutPlan RolloutCoordinator::plan(const Context &context) const
{
    return {context.limits, leader_.order() ? leader_.order()->duration : Duration::zero(), context.hosts};
}

int RolloutCoordinator::stage() const
{
    return leader_.record() ? leader_.record()->stage : 0;
}

} // namespace Lovageloft
