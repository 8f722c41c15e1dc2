#include "gateway/configuration_duty.h"

#include <algorithm>

#include "core/log.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

/// Parts of the window after which the next proof is due, and up to which one watch waits. Two proofs a window leave one to be lost.
constexpr int proofsPerWindow = 2;
constexpr int watchesPerWindow = 2;

} // namespace

ConfigurationDuty::ConfigurationDuty(Store &store, const StoreRecords &records, Gateway &gateway, Duration window, Listeners listeners)
    : store_(store)
    , records_(records)
    , gateway_(gateway)
    , window_(window)
    , listeners_(std::move(listeners))
{
}

void ConfigurationDuty::run()
{
    while (!isStopped()) {
        const bool isOk = watchFrom_ == 0 ? readAll() : watchOnce() && confirm();
        noteStore(isOk);
        if (isOk) {
            backoff_.reset();
        } else {
            pause(backoff_.next());
        }
    }
}

bool ConfigurationDuty::readAll()
{
    const TimePoint sentAt = BootClock::now();
    const StoreListReply reply = store_.list(records_.operatorPrefix());
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchFrom_ = reply.revision;
    for (const StoreEntry &entry : reply.entries) {
        take(entry, sentAt);
    }
    return true;
}

bool ConfigurationDuty::watchOnce()
{
    const TimePoint sentAt = BootClock::now();
    const StoreListReply reply = store_.watch(records_.operatorPrefix(), watchFrom_, window_ / watchesPerWindow);
    if (reply.status == StoreStatus::NotFound) {
        watchFrom_ = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        // Changes may have been missed meanwhile: the proof below tells.
        return confirm() && false;
    }
    watchFrom_ = std::max(watchFrom_, reply.revision);
    for (const StoreEntry &entry : reply.entries) {
        take(entry, sentAt);
    }
    return true;
}

bool ConfigurationDuty::confirm()
{
    const TimePoint now = BootClock::now();
    if (configurationRevision_ == 0 || now - provenAt_ < window_ / proofsPerWindow) {
        return true;
    }
    const StoreReply reply = store_.confirm(records_.configurationKey(), configurationRevision_);
    if (reply.status == StoreStatus::Conflict) {
        if (reply.entry.revision > configurationRevision_ && !reply.entry.value.empty()) {
            take(reply.entry, now);
        } else {
            watchFrom_ = 0;
        }
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    provenAt_ = now;
    gateway_.post([revision = configurationRevision_, now](Gateway &gateway) { gateway.confirmTable(revision, now); });
    return true;
}

void ConfigurationDuty::take(const StoreEntry &entry, TimePoint provenAt)
{
    if (entry.key == records_.configurationKey()) {
        takeConfiguration(entry, provenAt);
        return;
    }
    if (!records_.isWeightsKey(entry.key) || entry.isDeleted) {
        return;
    }
    Reason reason;
    auto weights = records_.parseWeights(entry, reason);
    if (!weights) {
        writeLog(LogLevel::Warning, "weights_unreadable", {{"key", entry.key}, {"reason", reason.text}});
        return;
    }
    weights->learntAt = provenAt;
    listeners_.onWeights(*weights);
}

void ConfigurationDuty::takeConfiguration(const StoreEntry &entry, TimePoint provenAt)
{
    Reason reason;
    auto table = entry.isDeleted ? std::nullopt : records_.parseConfiguration(entry, reason);
    if (!table) {
        // The last good one stays in force, but is not proven any more.
        writeLog(LogLevel::Error, "configuration_unreadable", {{"revision", entry.revision}, {"reason", reason.text}});
        return;
    }
    if (entry.revision < configurationRevision_) {
        return;
    }
    configurationRevision_ = entry.revision;
    provenAt_ = provenAt;
    listeners_.onConfiguration(std::make_shared<const RoutingTable>(std::move(*table)), provenAt);
}

void ConfigurationDuty::noteStore(bool isReachable)
{
    if (isReachable == isReachable_) {
        return;
    }
    isReachable_ = isReachable;
    writeLog(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "store_regained" : "store_lost", {{"duty", "configuration"}});
}

} // namespace Lovageloft
