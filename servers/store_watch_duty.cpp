#include "servers/store_watch_duty.h"

#include <algorithm>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Pause after a call without an answer, so that a store that is down is not called in a tight loop.
constexpr std::chrono::milliseconds failurePause{200};
/// Steps in which a pause looks whether the host shuts down.
constexpr std::chrono::milliseconds pauseStep{20};
/// Confirmations in each freshness window: one may be lost and the next still come in time.
constexpr int confirmationsPerWindow = 2;

} // namespace

StoreWatchDuty::StoreWatchDuty(const Settings &settings, Store &store, ConfigurationService &configuration, Metrics &metrics)
    : period_(Duration(std::chrono::milliseconds(settings.freshnessWindow)) / confirmationsPerWindow)
    , store_(store)
    , configuration_(configuration)
    , metrics_(metrics)
    , logStore_(store, settings.storePrefix)
    , watchPrefix_(logStore_.logPrefix())
    , thread_([this] { run(); })
{
}

StoreWatchDuty::~StoreWatchDuty()
{
    isStopping_ = true;
    thread_.join();
}

void StoreWatchDuty::run()
{
    while (!isStopping_) {
        if (!catchUp()) {
            metrics_.add("lovageloft_store_failures_total");
            pause(failurePause);
            continue;
        }
        const TimePoint next = BootClock::now() + period_;
        while (!isStopping_ && BootClock::now() < next) {
            watch();
            shareInForce();
        }
    }
}

bool StoreWatchDuty::catchUp()
{
    if (revision_ == 0) {
        // One entry's key is as good as any: the answer's revision is the store's.
        const StoreListReply reply = store_.list(logStore_.entryKey(0));
        if (reply.status != StoreStatus::Ok) {
            return false;
        }
        revision_ = reply.revision;
    }
    const TimePoint sentAt = BootClock::now();
    if (logStore_.catchUp(replica_) != StoreStatus::Ok) {
        return false;
    }
    configuration_.takeFrom(replica_);
    configuration_.onStoreConfirmed(replica_.version(), sentAt);
    logStore_.writeSnapshotIfDue(replica_);
    const bool isEntryOnItsWay = configuration_.ownAnswer().inForceVersion < replica_.version();
    if (isEntryOnItsWay && inForceShared_ < replica_.version()) {
        inForceShared_ = logStore_.readInForce().value_or(inForceShared_);
        configuration_.onInForceShared(inForceShared_);
    }
    shareInForce();
    return true;
}

/// Tells the store which entry is in force. What goes wrong without it: a host that starts while a majority is gone never
/// learns that the newest entry is in force, and refuses every caller until the others are back, with the store up all along.
void StoreWatchDuty::shareInForce()
{
    const std::int64_t inForce = std::min(configuration_.ownAnswer().inForceVersion, replica_.version());
    if (inForce <= inForceShared_) {
        return;
    }
    const auto shared = logStore_.recordInForce(inForce);
    if (!shared.has_value()) {
        writeLog(LogLevel::Warning, "in_force_not_shared", {{"version", inForce}});
    }
    inForceShared_ = shared.value_or(inForceShared_);
    configuration_.onInForceShared(inForce);
}

void StoreWatchDuty::watch()
{
    constexpr std::chrono::milliseconds slice{250};
    const StoreListReply reply = store_.watch(watchPrefix_, revision_, slice);
    if (reply.status == StoreStatus::NotFound) {
        revision_ = 0;
        pause(failurePause);
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        pause(failurePause);
        return;
    }
    revision_ = std::max(revision_, reply.revision);
    if (reply.entries.empty()) {
        return;
    }
    revision_ = std::max(revision_, reply.entries.back().revision);
    if (logStore_.addWatchedEntries(replica_, reply.entries) > 0) {
        configuration_.takeFrom(replica_);
        writeLog(LogLevel::Info, "configuration_entry", {{"version", replica_.version()}});
    }
}

void StoreWatchDuty::pause(Duration duration) const
{
    const TimePoint end = BootClock::now() + duration;
    while (!isStopping_ && BootClock::now() < end) {
        std::this_thread::sleep_for(pauseStep);
    }
}

} // namespace Lovageloft
