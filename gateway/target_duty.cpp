#include "gateway/target_duty.h"

#include <algorithm>

#include "coordination/store_position.h"
#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Longest wait of one watch. Entries change seldom; a returning watch costs a call.
constexpr Duration watchTime = std::chrono::seconds(3);

/// Pause between two watches: releases and restarts change entries in bursts, and one call then carries many. Far below the seconds
/// after which a leaving target may get nothing new.
constexpr Duration watchPause = std::chrono::milliseconds(150);

/// After a store was away for that long, entries may have lapsed though their targets live.
constexpr Duration lapseTime = std::chrono::seconds(2);

/// How long targets have to write a lapsed entry again once the store is back, by the platform's word, and one call on top.
constexpr Duration returnGrace = std::chrono::milliseconds(2'300);

} // namespace

TargetDuty::TargetDuty(Store &store, const StoreRecords &records, Listener listener)
    : store_(store)
    , records_(records)
    , listener_(std::move(listener))
{
}

void TargetDuty::run()
{
    while (!isStopped()) {
        const bool isOk = watchFrom_ == 0 ? readAll() : watchOnce();
        dropMissing();
        if (isOk) {
            backoff_.reset();
            pause(watchPause);
            continue;
        }
        if (!lostAt_) {
            lostAt_ = BootClock::now();
            writeLog(LogLevel::Warning, "store_lost", {{"duty", "targets"}});
        }
        pause(backoff_.nextDelay());
    }
}

bool TargetDuty::readAll()
{
    const StoreListReply reply = store_.list(records_.targetPrefix());
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchFrom_ = reply.revision;
    TargetMap targets;
    for (const StoreEntry &entry : reply.entries) {
        take(entry, targets);
    }
    const TimePoint now = BootClock::now();
    const bool wasAway = isOtherEra(reply.revision) || (lostAt_ && reply.outage.value_or(lapseTime) >= lapseTime);
    reached_ = reply.revision;
    for (const auto &[id, target] : targets_) {
        if (!targets.contains(id) && wasAway) {
            missing_.try_emplace(id, now + returnGrace);
            targets.emplace(id, target);
        }
    }
    if (lostAt_) {
        writeLog(LogLevel::Info, "store_regained", {{"duty", "targets"}, {"away_ms", toMillis(now - *lostAt_)}});
        lostAt_.reset();
    }
    publish(std::move(targets));
    return true;
}

bool TargetDuty::watchOnce()
{
    const Duration wait = missing_.empty() ? watchTime : watchPause;
    const StoreListReply reply = store_.watch(records_.targetPrefix(), watchFrom_, wait);
    if (reply.status == StoreStatus::NotFound) {
        watchFrom_ = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        // What happened meanwhile is only known from the whole list.
        watchFrom_ = 0;
        return false;
    }
    watchFrom_ = std::max(watchFrom_, reply.revision);
    if (reply.entries.empty()) {
        return true;
    }
    TargetMap targets = targets_;
    const bool wasAway = isOtherEra(reply.revision) || reply.outage.value_or(reply.silence) >= lapseTime;
    reached_ = watchFrom_;
    const TimePoint now = BootClock::now();
    for (const StoreEntry &entry : reply.entries) {
        if (wasAway && entry.isDeleted) {
            missing_.try_emplace(targetOf(entry), now + returnGrace);
            continue;
        }
        missing_.erase(targetOf(entry));
        take(entry, targets);
    }
    publish(std::move(targets));
    return true;
}

/// Whether the store came back from an older copy since it was last heard of. What that lacks is written again, as after an outage.
bool TargetDuty::isOtherEra(std::int64_t position) const
{
    return reached_ != 0 && eraOf(position) != eraOf(reached_);
}

std::string TargetDuty::targetOf(const StoreEntry &entry) const
{
    return entry.key.substr(std::min(records_.targetPrefix().size(), entry.key.size()));
}

void TargetDuty::take(const StoreEntry &entry, TargetMap &targets) const
{
    const std::string id = targetOf(entry);
    if (entry.isDeleted) {
        targets.erase(id);
        return;
    }
    Reason reason;
    auto target = records_.parseTarget(entry, reason);
    if (!target) {
        writeLog(LogLevel::Warning, "target_unreadable", {{"key", entry.key}, {"revision", entry.revision}, {"reason", reason.text}});
        targets.erase(id);
        return;
    }
    // A store that came back from an older copy tells what was written before.
    const auto known = targets_.find(id);
    target->isLeaving = target->isLeaving || (known != targets_.end() && known->second.incarnation == target->incarnation && known->second.isLeaving);
    targets.insert_or_assign(id, std::move(*target));
}

void TargetDuty::publish(TargetMap &&targets)
{
    for (const auto &[id, target] : targets) {
        const auto known = targets_.find(id);
        if (known == targets_.end() || !(known->second == target)) {
            writeLog(LogLevel::Info,
                     "target_known",
                     {{"target", id},
                      {"service", target.service},
                      {"leaving", target.isLeaving},
                      {"incarnation", target.incarnation},
                      {"weights", target.models.empty() ? std::int64_t{0} : target.models.front().version}});
        }
    }
    for (const auto &[id, target] : targets_) {
        if (!targets.contains(id)) {
            writeLog(LogLevel::Info, "target_gone", {{"target", id}, {"service", target.service}});
        }
    }
    targets_ = std::move(targets);
    listener_(std::make_shared<const TargetMap>(targets_));
}

void TargetDuty::dropMissing()
{
    const TimePoint now = BootClock::now();
    TargetMap targets = targets_;
    const std::size_t dropped = std::erase_if(missing_, [&](const auto &entry) {
        if (now < entry.second) {
            return false;
        }
        targets.erase(entry.first);
        return true;
    });
    if (dropped > 0) {
        publish(std::move(targets));
    }
}

} // namespace Lovageloft
