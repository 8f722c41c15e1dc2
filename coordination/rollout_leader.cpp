#include "coordination/rollout_leader.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// How long a new leader waits for reports of all hosts before it grants anything.
constexpr Duration maxReportWait = std::chrono::seconds(2);

} // namespace

RolloutLeader::RolloutLeader(Duration silentTime)
    : silentTime_(silentTime)
{
}

void RolloutLeader::setSilentTime(Duration time)
{
    silentTime_ = time;
}

void RolloutLeader::setOrder(const RolloutOrder &order, std::int64_t revision, std::optional<TimePoint> seenAt, TimePoint now)
{
    if (order_ && revision <= revision_) {
        return;
    }
    order_ = order;
    revision_ = revision;
    orderedAt_ = seenAt.value_or(now);
    isFoundBad_ = false;
    for (auto &[name, host] : hosts_) {
        host.hasReported = false;
    }
    if (record_ && record_->order == revision_) {
        orderedAt_ = std::min(orderedAt_, now - record_->elapsed);
    }
}

void RolloutLeader::removeOrder()
{
    order_.reset();
}

void RolloutLeader::setRecord(const RolloutRecord &record, TimePoint now)
{
    if (record_ && record.position <= record_->position) {
        return;
    }
    record_ = record;
    if (record.order == revision_) {
        orderedAt_ = std::min(orderedAt_, now - record.elapsed);
    }
}

void RolloutLeader::setHosts(const std::vector<std::string> &hosts, TimePoint now)
{
    for (auto &[name, host] : hosts_) {
        host.lastSeenAt = host.isListed ? now : host.lastSeenAt;
        host.isListed = false;
    }
    for (const std::string &name : hosts) {
        hosts_[name].isListed = true;
    }
}

void RolloutLeader::onReport(const std::string &name, const RolloutProgress &progress, TimePoint now)
{
    Host &host = hosts_[name];
    host.lastSeenAt = now;
    host.position = progress.position;
    host.otherInFlight = progress.otherInFlight;
    host.hasReported = progress.order == revision_;
    if (host.hasReported && progress.orderAge) {
        orderedAt_ = std::min(orderedAt_, now - *progress.orderAge);
    }
}

std::optional<RolloutRecord> RolloutLeader::step(const Facts &facts, TimePoint now)
{
    if (facts.isLeading != wasLeading_) {
        wasLeading_ = facts.isLeading;
        renewal_ = 0;
        leadingSince_ = now;
    }
    if (!facts.isLeading) {
        return std::nullopt;
    }
    isFoundBad_ = isFoundBad_ || facts.isBad;
    if (!order_) {
        const bool isPending = record_ && (record_->phase == RolloutPhase::Running || record_->phase == RolloutPhase::Switching);
        return isPending ? std::optional(next(RolloutPhase::RolledBack, 0, now)) : std::nullopt;
    }
    if (!isCurrent() || !isRenewed()) {
        const bool servesAlready = facts.servingVersion == order_->version;
        const RolloutPhase first = servesAlready ? RolloutPhase::Completed : RolloutPhase::Running;
        const RolloutRecord record = isCurrent() ? next(record_->phase, record_->stage, now) : next(first, 0, now);
        renewal_ = record.position;
        return record;
    }
    switch (record_->phase) {
    case RolloutPhase::Running:
        if (isFoundBad_) {
            return next(RolloutPhase::RolledBack, record_->stage, now);
        }
        if (facts.isGood) {
            return next(RolloutPhase::Switching, record_->stage, now);
        }
        return facts.mayAdvance && record_->stage < facts.lastStage ? std::optional(next(RolloutPhase::Running, record_->stage + 1, now)) : std::nullopt;
    case RolloutPhase::Switching:
        return isDrained(now) ? std::optional(next(RolloutPhase::Completed, record_->stage, now)) : std::nullopt;
    case RolloutPhase::Completed:
    case RolloutPhase::RolledBack:
        break;
    }
    return std::nullopt;
}

bool RolloutLeader::isExposing() const
{
    return wasLeading_ && !isFoundBad_ && order_ && isCurrent() && isRenewed() && record_->phase == RolloutPhase::Running;
}

bool RolloutLeader::hasHeardAll(TimePoint now) const
{
    if (now - leadingSince_ >= maxReportWait) {
        return true;
    }
    return std::all_of(hosts_.begin(), hosts_.end(), [](const auto &entry) { return !entry.second.isListed || entry.second.hasReported; });
}

Duration RolloutLeader::elapsed(TimePoint now) const
{
    return now - orderedAt_;
}

const std::optional<RolloutOrder> &RolloutLeader::order() const
{
    return order_;
}

std::int64_t RolloutLeader::orderRevision() const
{
    return revision_;
}

const std::optional<RolloutRecord> &RolloutLeader::record() const
{
    return record_;
}

/// Whether the record is of the current order.
bool RolloutLeader::isCurrent() const
{
    return record_ && record_->order == revision_;
}

/// Whether this leader has written the record, or knows a later one.
bool RolloutLeader::isRenewed() const
{
    return renewal_ != 0 && record_->position >= renewal_;
}

/// Whether no host has a request at a target of another version than the ordered one. A host of the fleet must say so itself, after it has
/// applied the switch; one that is gone serves no requests once its last ones have ended.
bool RolloutLeader::isDrained(TimePoint now) const
{
    return std::all_of(hosts_.begin(), hosts_.end(), [this, now](const auto &entry) {
        const Host &host = entry.second;
        const bool hasEnded = host.hasReported && host.position >= record_->position && host.otherInFlight == 0;
        return hasEnded || (!host.isListed && now - host.lastSeenAt >= silentTime_);
    });
}

RolloutRecord RolloutLeader::next(RolloutPhase phase, int stage, TimePoint now) const
{
    RolloutRecord record;
    record.position = record_ ? record_->position + 1 : 1;
    record.phase = phase;
    record.stage = stage;
    record.order = order_ ? revision_ : record_->order;
    record.elapsed = std::max(now - orderedAt_, Duration::zero());
    record.version = order_ ? order_->version : record_->version;
    return record;
}

} // namespace Lovageloft
