#include <algorithm>

#include "core/log.h"
#include "gateway/gateway.h"

/// What the gateway knows of its targets, and passes on to its parts.
namespace Lovageloft
{

namespace
{

/// How long other hosts are asked which targets leave, after an outage of the store: datagrams may be lost.
constexpr Duration leaveQueryTime = std::chrono::seconds(1);

} // namespace

void Gateway::setTargets(std::shared_ptr<const TargetMap> targets)
{
    listedTargets_ = std::move(targets);
    statements_.noteLeaving(*listedTargets_);
    const bool hasUnlisted = std::any_of(listedTargets_->begin(), listedTargets_->end(), [](const auto &entry) { return entry.second.isUnlisted; });
    if (hasUnlisted) {
        // Others may have heard before the outage that some of these targets have left.
        queryStatementsUntil_ = BootClock::now() + leaveQueryTime;
    }
    applyTargets();
}

void Gateway::addListedWeights()
{
    if (directory_.addListedWeights(BootClock::now())) {
        writeLog(LogLevel::Warning, "weights_only_listed");
        onPublishedWeights();
    }
}

/// Puts the listed targets in force, and what else is known of their leaving.
void Gateway::applyTargets()
{
    directory_.setTargets(statements_.withLeaves(listedTargets_));
    versions_.setTargets(directory_.all());
    rollouts_.updateCandidates();
    paths_.setTargets(directory_.all());
    pool_.closeUnlisted(directory_.all());
    statements_.setTargets(directory_.all());
    streams_.setTargets(directory_.all());
    hasTargets_ = true;
    addListedWeights();
    dispatch_.invalidateEngines();
    if (isConfigured()) {
        beginPending();
    }
}

void Gateway::avoidTarget(std::string_view targetId, std::string_view model, Duration time)
{
    directory_.avoid(targetId, model, BootClock::now() + time);
    dispatch_.invalidateEngines();
}

void Gateway::onRestAsked(std::string_view targetId, std::int64_t incarnation, Duration rest)
{
    const TimePoint now = BootClock::now();
    const bool isNew = directory_.rest(targetId, incarnation, now + rest, now);
    dispatch_.invalidateEngines();
    if (isNew) {
        metrics_.add("lovageloft_target_rests_total");
        writeLog(LogLevel::Info, "target_rests", {{"target", targetId}, {"incarnation", incarnation}, {"rest_ms", toMillis(rest)}});
    }
}

void Gateway::onTargetLoad(std::string_view engineName, const AnswerFacts &facts)
{
    const Target *target = directory_.find(engineName);
    if (target == nullptr) {
        return;
    }
    if (facts.load) {
        dispatch_.onTargetLoad(engineName, *target, *facts.load);
    }
    if (!facts.isLoadMalformed) {
        return;
    }
    constexpr std::size_t maxLogged = 256;
    metrics_.add("lovageloft_target_loads_malformed_total");
    if (malformedLoads_.size() < maxLogged && malformedLoads_.insert(target->id).second) {
        writeLog(LogLevel::Warning, "target_load_malformed", {{"target", target->id}});
    }
}

void Gateway::refreshTargets()
{
    const TimePoint now = BootClock::now();
    dispatch_.setEngines(directory_.engines(now), directory_.nextChange(now));
}

} // namespace Lovageloft
