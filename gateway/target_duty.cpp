#include "gateway/target_duty.h"

#include <algorithm>
#include <span>

#include "coordination/store_position.h"
#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Timeout of one watch; each watch that returns costs a call. A watch whose connection has gone silent is given up half a second later, and
/// a new one has to tell of leaving targets within the two seconds after which they must get no requests.
constexpr Duration watchTimeout = std::chrono::seconds(1);

/// Pause between two watches. Releases and restarts change entries in bursts, which one call then returns together. Far shorter than the
/// seconds within which a leaving target must stop getting requests.
constexpr Duration pauseBetweenWatches = std::chrono::milliseconds(150);

/// Shortest store outage in which entries of running targets may have expired.
constexpr Duration minOutageForExpiry = std::chrono::seconds(2);

/// How long expired entries are kept from the store's return: the time that the platform gives targets to write them again, plus one call.
constexpr Duration reregistrationGrace = std::chrono::milliseconds(2'300);

/// "MODEL:VERSION" of each model, separated by commas.
std::string weightsText(std::span<const ServedModel> models)
{
    std::string text;
    for (const ServedModel &model : models) {
        text += (text.empty() ? "" : ",") + model.name + ':' + std::to_string(model.version);
    }
    return text;
}

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
        const bool isOk = watchRevision_ == 0 ? readAll() : watchOnce();
        removeExpired();
        leaves_.forgetOld(BootClock::now());
        if (isOk) {
            backoff_.reset();
            sleepFor(pauseBetweenWatches);
            continue;
        }
        if (!storeLostAt_) {
            storeLostAt_ = BootClock::now();
            writeLog(LogLevel::Warning, "store_lost", {{"duty", "targets"}});
        }
        sleepFor(backoff_.nextDelay());
    }
}

bool TargetDuty::readAll()
{
    const StoreListReply reply = store_.list(records_.targetPrefix());
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchRevision_ = reply.revision;
    TargetMap targets;
    for (const StoreEntry &entry : reply.entries) {
        missing_.erase(targetId(entry));
        applyEntry(entry, targets);
    }
    const TimePoint now = BootClock::now();
    const bool mayHaveExpired = isDifferentEra(reply.revision) || (storeLostAt_ && reply.outage.value_or(minOutageForExpiry) >= minOutageForExpiry);
    lastRevision_ = reply.revision;
    for (const auto &[id, target] : targets_) {
        if (!targets.contains(id) && (mayHaveExpired || missing_.contains(id))) {
            targets.emplace(id, target);
            keepUnlisted(id, targets, now - reply.returnAge);
        }
    }
    if (storeLostAt_) {
        writeLog(LogLevel::Info, "store_regained", {{"duty", "targets"}, {"away_ms", toMillis(now - *storeLostAt_)}});
        storeLostAt_.reset();
    }
    publish(std::move(targets));
    return true;
}

bool TargetDuty::watchOnce()
{
    const Duration wait = missing_.empty() ? watchTimeout : pauseBetweenWatches;
    const StoreListReply reply = store_.watch(records_.targetPrefix(), watchRevision_, wait);
    if (reply.status == StoreStatus::NotFound) {
        watchRevision_ = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        // Changes may have been missed: read the whole list again.
        watchRevision_ = 0;
        return false;
    }
    watchRevision_ = std::max(watchRevision_, reply.revision);
    if (reply.entries.empty()) {
        return true;
    }
    TargetMap targets = targets_;
    const bool mayHaveExpired = isDifferentEra(reply.revision) || reply.outage.value_or(reply.silence) >= minOutageForExpiry;
    lastRevision_ = watchRevision_;
    const TimePoint now = BootClock::now();
    for (const StoreEntry &entry : reply.entries) {
        if (mayHaveExpired && entry.isDeleted) {
            keepUnlisted(targetId(entry), targets, now - reply.returnAge);
            continue;
        }
        missing_.erase(targetId(entry));
        applyEntry(entry, targets);
    }
    publish(std::move(targets));
    return true;
}

/// Whether the store was restored from an older copy since the last reply. Entries that the copy lacks are written again, as after an outage.
bool TargetDuty::isDifferentEra(std::int64_t position) const
{
    return lastRevision_ != 0 && eraOf(position) != eraOf(lastRevision_);
}

std::string TargetDuty::targetId(const StoreEntry &entry) const
{
    return entry.key.substr(std::min(records_.targetPrefix().size(), entry.key.size()));
}

void TargetDuty::applyEntry(const StoreEntry &entry, TargetMap &targets)
{
    const std::string id = targetId(entry);
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
    // A store restored from an older copy may return an entry from before the target announced its shutdown.
    if (target->isLeaving) {
        const TimePoint now = BootClock::now();
        leaves_.add({id, target->incarnation, now, now, {}});
    }
    target->isLeaving = leaves_.isLeaving(id, target->incarnation);
    targets.insert_or_assign(id, std::move(*target));
}

/// Keeps a target whose entry is gone and may have expired in an outage of the store that ended at `returnedAt`.
void TargetDuty::keepUnlisted(std::string_view id, TargetMap &targets, TimePoint returnedAt)
{
    const auto target = targets.find(id);
    const auto [missing, isNew] = missing_.try_emplace(std::string(id), returnedAt + reregistrationGrace);
    if (target == targets.end()) {
        return;
    }
    target->second.isUnlisted = true;
    if (isNew) {
        writeLog(LogLevel::Info,
                 "target_unlisted",
                 {{"target", id}, {"leaving", target->second.isLeaving}, {"kept_ms", toMillis(missing->second - BootClock::now())}});
    }
}

void TargetDuty::publish(TargetMap &&targets)
{
    for (const auto &[id, target] : targets) {
        const auto previous = targets_.find(id);
        if (previous == targets_.end() || !(previous->second == target)) {
            writeLog(LogLevel::Info,
                     "target_known",
                     {{"target", id},
                      {"service", target.service},
                      {"version", target.softwareVersion},
                      {"leaving", target.isLeaving},
                      {"incarnation", target.incarnation},
                      {"weights", weightsText(target.models)}});
        }
    }
    for (const auto &[id, target] : targets_) {
        if (!targets.contains(id)) {
            writeLog(
                LogLevel::Info, "target_gone", {{"target", id}, {"service", target.service}, {"leaving", target.isLeaving}, {"unlisted", target.isUnlisted}});
        }
    }
    targets_ = std::move(targets);
    listener_(std::make_shared<const TargetMap>(targets_), watchRevision_);
}

void TargetDuty::removeExpired()
{
    const TimePoint now = BootClock::now();
    TargetMap targets = targets_;
    const std::size_t removed = std::erase_if(missing_, [&](const auto &entry) {
        if (now < entry.second) {
            return false;
        }
        targets.erase(entry.first);
        return true;
    });
    if (removed > 0) {
        publish(std::move(targets));
    }
}

} // namespace Lovageloft
