#include "gateway/target_statements.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Targets of a service tend to state something at the same time, and many hosts to hear it.
constexpr Duration announcementDelay = std::chrono::milliseconds(10);

constexpr Duration minTimerDelay = std::chrono::milliseconds(1);

/// A leave as passed between hosts.
StatementTable::Update leaveUpdate(const LeaveTable::Leave &leave)
{
    return {{leave.target, leave.incarnation, StatementKind::Leaving, 1, leave.saidAt, leave.heardAt, leave.heardBy}, false};
}

} // namespace

TargetStatements::TargetStatements(boost::asio::io_context &loop, std::string hostName, Metrics &metrics, Links links)
    : hostName_(hostName)
    , table_(hostName)
    , log_(metrics)
    , permits_(std::move(hostName), table_)
    , links_(std::move(links))
    , announcementTimer_(loop)
    , permitTimer_(loop)
{
    permits_.slots().setLinks(links_.slots);
}

void TargetStatements::setHosts(std::size_t hosts, const std::vector<std::string> &candidates)
{
    permits_.setHosts(hosts, candidates, BootClock::now());
}

void TargetStatements::onAnswer(std::string_view targetId, std::int64_t incarnation, TimePoint sentAt, const AnswerFacts &facts)
{
    const bool isOtherTarget = facts.isTargetMismatch && facts.targetId != targetId;
    if (isOtherTarget) {
        return;
    }
    log_.heard(targetId, facts.stated);
    const std::vector<StatedValue> &statements = facts.stated.statements;
    if (statements.empty() && table_.isEmpty()) {
        return;
    }
    const TimePoint now = BootClock::now();
    const auto leaving = std::find_if(statements.begin(), statements.end(), [](const StatedValue &value) { return value.kind == StatementKind::Leaving; });
    if (leaving != statements.end() && leaving->value.value_or(0) > 0) {
        const LeaveTable::Leave leave{std::string(targetId), incarnation, now, now, hostName_};
        if (addLeave(leave, "answer")) {
            announce(leaveUpdate(leave));
            links_.onLeave();
        }
    }
    for (const StatementKind kind : limitKinds) {
        const auto stated = std::find_if(statements.begin(), statements.end(), [kind](const StatedValue &value) { return value.kind == kind; });
        const bool isStated = stated != statements.end();
        const auto update = table_.onAnswer({targetId, incarnation, kind, isStated, isStated ? stated->value : std::nullopt, sentAt}, now);
        if (update) {
            onChanged(*update);
            announce(*update);
        }
    }
}

/// A target has stated something else than before. What it tolerates, others of its service that have not answered yet are taken to tolerate as well.
void TargetStatements::onChanged(const StatementTable::Update &update)
{
    log_.changed(update);
    const TargetStatement &statement = update.statement;
    const auto changed = listed_.find(statement.target);
    if (statement.kind != StatementKind::RejectionLimit || update.isEnded || changed == listed_.end()) {
        return;
    }
    for (const auto &[id, target] : listed_) {
        if (target.service == changed->second.service) {
            table_.presumeRejectionLimit(id, target.incarnation, statement.value, BootClock::now());
        }
    }
}

void TargetStatements::announce(const StatementTable::Update &update)
{
    announcements_.push_back(update);
    if (announcements_.size() > 1) {
        return;
    }
    announcementTimer_.expires_after(announcementDelay);
    announcementTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            flushAnnouncements();
        }
    });
}

/// Leaves out what another host has told all others meanwhile.
void TargetStatements::flushAnnouncements()
{
    std::erase_if(announcements_, [this](const StatementTable::Update &update) {
        const TargetStatement *known = table_.find(update.statement.target, update.statement.kind);
        if (update.statement.kind == StatementKind::Leaving) {
            return isToldByOther(update.statement);
        }
        return !update.isEnded && known != nullptr && known->heardBy != update.statement.heardBy && known->value == update.statement.value;
    });
    links_.broadcast(announcements_);
    announcements_.clear();
}

/// Whether another host has told of this leave before this host could.
bool TargetStatements::isToldByOther(const TargetStatement &leaving) const
{
    const LeaveTable::Leave *known = leaves_.find(leaving.target);
    return known != nullptr && known->heardBy != hostName_ && known->incarnation >= leaving.incarnation;
}

void TargetStatements::setTargets(const TargetMap &targets)
{
    presumeRejectionLimits(targets);
    table_.retainListed([&targets](std::string_view id) {
        const auto found = targets.find(id);
        return found != targets.end() ? std::optional(found->second.incarnation) : std::nullopt;
    });
}

void TargetStatements::noteLeaving(const TargetMap &listed)
{
    const TimePoint now = BootClock::now();
    for (const auto &[id, target] : listed) {
        if (target.isLeaving) {
            addLeave({id, target.incarnation, now, now, hostName_}, "entry");
        }
    }
}

std::shared_ptr<const TargetMap> TargetStatements::withLeaves(std::shared_ptr<const TargetMap> listed) const
{
    std::shared_ptr<TargetMap> marked;
    for (const auto &[id, target] : *listed) {
        if (target.isLeaving || !leaves_.isLeaving(id, target.incarnation)) {
            continue;
        }
        if (marked == nullptr) {
            marked = std::make_shared<TargetMap>(*listed);
        }
        marked->at(id).isLeaving = true;
    }
    return marked != nullptr ? marked : std::move(listed);
}

/// Returns whether the leave is new. `source`: where this host has it from, for the log.
bool TargetStatements::addLeave(const LeaveTable::Leave &leave, std::string_view source)
{
    const bool isNew = leaves_.add(leave);
    if (isNew) {
        log_.leaving(leave, source);
    }
    return isNew;
}

void TargetStatements::presumeRejectionLimits(const TargetMap &targets)
{
    std::map<std::string_view, double> limits; // By service.
    for (const auto &[id, target] : targets) {
        const TargetStatement *stated = table_.find(id, StatementKind::RejectionLimit);
        if (stated == nullptr) {
            continue;
        }
        const auto limit = limits.try_emplace(target.service, stated->value).first;
        limit->second = std::min(limit->second, stated->value);
    }
    std::map<std::string, Listed, std::less<>> listed;
    for (const auto &[id, target] : targets) {
        listed.emplace(id, Listed{target.incarnation, target.service});
        const auto before = listed_.find(id);
        const bool hasStarted = before == listed_.end() || before->second.incarnation < target.incarnation;
        const auto limit = limits.find(target.service);
        if (hasStarted && limit != limits.end()) {
            table_.presumeRejectionLimit(id, target.incarnation, limit->second, BootClock::now());
        }
    }
    listed_ = std::move(listed);
}

void TargetStatements::wantPermits(std::span<const WantedPermits> wanted)
{
    const TimePoint now = BootClock::now();
    permits_.returnUnused(now);
    for (const auto &[target, count] : wanted) {
        permits_.want(target, count, now, links_.requestPermit);
        if (permits_.wait(target, now) == Duration::zero()) {
            links_.onPermitValid();
        }
    }
    armPermitTimer(now);
}

void TargetStatements::onUpdates(std::span<const StatementTable::Update> updates)
{
    bool hasNewLeave = false;
    for (const StatementTable::Update &update : updates) {
        const TargetStatement &statement = update.statement;
        if (statement.kind == StatementKind::Leaving) {
            hasNewLeave |= addLeave({statement.target, statement.incarnation, statement.statedAt, statement.heardAt, statement.heardBy}, "host");
        } else if (table_.onUpdate(update)) {
            onChanged(update);
        }
    }
    if (hasNewLeave) {
        links_.onLeave();
    }
}

PermitReply TargetStatements::onPermitRequest(const PermitRequest &request)
{
    return permits_.onRequest(request, BootClock::now());
}

void TargetStatements::onPermitReply(const PermitReply &reply)
{
    const TimePoint now = BootClock::now();
    permits_.onReply(reply, now);
    links_.onPermitValid();
    armPermitTimer(now);
}

void TargetStatements::onSlotReport(const std::string &host, const SlotReport &report)
{
    const TimePoint now = BootClock::now();
    permits_.slots().onReport(host, report, now);
    links_.onPermitValid();
    armPermitTimer(now);
}

void TargetStatements::onSlotGrant(const std::string &home, const SlotGrant &grant)
{
    const TimePoint now = BootClock::now();
    permits_.slots().onGrant(home, grant, now);
    links_.onPermitValid();
    armPermitTimer(now);
}

std::vector<StatementTable::Update> TargetStatements::inForce() const
{
    std::vector<StatementTable::Update> updates;
    for (TargetStatement &statement : table_.inForce()) {
        updates.push_back({std::move(statement), false});
    }
    for (const LeaveTable::Leave &leave : leaves_.all()) {
        updates.push_back(leaveUpdate(leave));
    }
    return updates;
}

void TargetStatements::tick(TimePoint now)
{
    for (const StatementTable::Update &lapsed : table_.expire(now)) {
        log_.changed(lapsed, true);
    }
    leaves_.forgetOld(now);
    permits_.onTick(now);
    if (const auto repeats = permits_.takeRepeats(now); !repeats.empty()) {
        links_.broadcast(repeats);
    }
    if (!table_.isEmpty()) {
        links_.onPermitValid(); // A limit that rises after its end lets requests go without a message.
    }
}

void TargetStatements::armPermitTimer(TimePoint now)
{
    const auto next = permits_.nextEvent(now);
    if (!next) {
        return;
    }
    permitTimer_.expires_after(std::max(*next - now, minTimerDelay));
    permitTimer_.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint wakeup = BootClock::now();
        permits_.onTick(wakeup);
        links_.onPermitValid();
        armPermitTimer(wakeup);
    });
}

} // namespace Lovageloft
