#include "gateway/rollout_duty.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

constexpr Duration leaderPause = std::chrono::milliseconds(50);
constexpr Duration followerPause = std::chrono::milliseconds(500);

} // namespace

RolloutDuty::RolloutDuty(Store &store, const StoreRecords &format, Options options)
    : store_(store)
    , format_(format)
    , options_(std::move(options))
{
}

void RolloutDuty::write(const std::string &service, const RolloutRecord &record)
{
    const std::lock_guard lock(mutex_);
    pending_.insert_or_assign(service, record);
}

void RolloutDuty::run()
{
    while (!isStopped()) {
        std::map<std::string, RolloutRecord> pending;
        {
            const std::lock_guard lock(mutex_);
            pending.swap(pending_);
        }
        for (const auto &[service, record] : pending) {
            if (!writeAll(service, record)) {
                const std::lock_guard lock(mutex_);
                pending_.emplace(service, record); // A newer one that was queued meanwhile stays.
            }
        }
        sleepFor(BootClock::now() < options_.leaseUntil() ? leaderPause : followerPause);
    }
}

/// Returns false if it has to be tried again.
bool RolloutDuty::writeAll(const std::string &service, const RolloutRecord &record)
{
    if (BootClock::now() >= options_.leaseUntil()) {
        return true; // The next leader writes a record of its own.
    }
    if (record.phase == RolloutPhase::Completed && !replace(options_.versionsPrefix + service, record.version)) {
        return false;
    }
    const StoreStatus status = writeRecord(service, record);
    if (status != StoreStatus::Ok) {
        return status == StoreStatus::Conflict;
    }
    const bool isStated = replace(format_.rolloutStatusKey(service), format_.rolloutStatusText(record));
    writeLog(LogLevel::Info,
             "rollout_written",
             {{"service", service}, {"phase", rolloutPhaseName(record.phase)}, {"position", record.position}, {"stated", isStated}});
    return isStated;
}

/// Conflict if the store holds another record of the same or a higher position, Unavailable if the write has to be tried again.
StoreStatus RolloutDuty::writeRecord(const std::string &service, const RolloutRecord &record)
{
    const std::string key = options_.recordsPrefix + service;
    StoreReply known = store_.get(key);
    if (known.status != StoreStatus::Ok && known.status != StoreStatus::NotFound) {
        return StoreStatus::Unavailable;
    }
    const auto before = known.status == StoreStatus::Ok ? parseRolloutRecord(known.entry.value) : std::nullopt;
    if (before && before->position >= record.position) {
        options_.onRecord(service, *before);
        return *before == record ? StoreStatus::Ok : StoreStatus::Conflict;
    }
    const std::int64_t revision = known.status == StoreStatus::Ok ? known.entry.revision : 0;
    if (BootClock::now() >= options_.leaseUntil() || store_.compareAndSwap(key, revision, rolloutRecordText(record), 0).status != StoreStatus::Ok) {
        return StoreStatus::Unavailable;
    }
    options_.onRecord(service, record);
    return StoreStatus::Ok;
}

/// Sets a key to a value; returns whether the store holds it then.
bool RolloutDuty::replace(const std::string &key, const std::string &value)
{
    const StoreReply known = store_.get(key);
    if (known.status == StoreStatus::Ok && known.entry.value == value) {
        return true;
    }
    if (known.status != StoreStatus::Ok && known.status != StoreStatus::NotFound) {
        return false;
    }
    const std::int64_t revision = known.status == StoreStatus::Ok ? known.entry.revision : 0;
    return store_.compareAndSwap(key, revision, value, 0).status == StoreStatus::Ok;
}

} // namespace Lovageloft
