#include "gateway/skew_duty.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Far shorter than the time for which a new version is withheld anyway.
constexpr Duration pollInterval = std::chrono::milliseconds(100);

} // namespace

bool writeSkewRecord(Store &store, const std::string &prefix, const std::string &service, Duration timeToLive)
{
    const std::string key = prefix + service;
    const StoreLeaseReply lease = store.grantLease(timeToLive);
    if (lease.status != StoreStatus::Ok) {
        return false;
    }
    StoreReply reply = store.compareAndSwap(key, 0, {}, lease.leaseId);
    if (reply.status == StoreStatus::Conflict) {
        reply = store.compareAndSwap(key, reply.entry.revision, {}, lease.leaseId);
    }
    writeLog(LogLevel::Info, "version_skew_recorded", {{"service", service}, {"ok", reply.status == StoreStatus::Ok}});
    return reply.status == StoreStatus::Ok;
}

SkewDuty::SkewDuty(Store &store, std::string prefix)
    : store_(store)
    , prefix_(std::move(prefix))
{
}

void SkewDuty::record(const std::vector<std::string> &services, Duration timeToLive)
{
    const std::lock_guard lock(mutex_);
    for (const std::string &service : services) {
        pending_.insert_or_assign(service, timeToLive);
    }
}

void SkewDuty::run()
{
    while (!isStopped()) {
        if (writePending()) {
            backoff_.reset();
            sleepFor(pollInterval);
        } else {
            sleepFor(backoff_.nextDelay());
        }
    }
}

bool SkewDuty::writePending()
{
    std::map<std::string, Duration> services;
    {
        const std::lock_guard lock(mutex_);
        services.swap(pending_);
    }
    bool isWritten = true;
    for (const auto &[service, timeToLive] : services) {
        if (!writeSkewRecord(store_, prefix_, service, timeToLive)) {
            isWritten = false;
            const std::lock_guard lock(mutex_);
            pending_.emplace(service, timeToLive);
        }
    }
    return isWritten;
}

} // namespace Lovageloft
