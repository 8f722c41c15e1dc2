#include "gateway/configuration_duty.h"

#include <algorithm>
#include <vector>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Timeout of one watch; each watch that returns costs a call.
constexpr Duration watchTimeout = std::chrono::seconds(5);

} // namespace

ConfigurationDuty::ConfigurationDuty(Store &store, const StoreRecords &records, ConfigurationFeed &feed)
    : store_(store)
    , records_(records)
    , feed_(feed)
{
}

void ConfigurationDuty::run()
{
    while (!isStopped()) {
        const TimePoint calledAt = BootClock::now();
        const bool isOk = watchRevision_ == 0 ? readAll() : watchOnce();
        noteStoreState(isOk);
        const bool hasWatch = isOk && watchRevision_ != 0;
        unwatchedSince_ = hasWatch ? std::nullopt : std::optional(unwatchedSince_.value_or(calledAt));
        if (isOk) {
            backoff_.reset();
        } else {
            sleepFor(backoff_.nextDelay());
        }
    }
}

bool ConfigurationDuty::readAll()
{
    const TimePoint sentAt = BootClock::now();
    StoreListReply reply = store_.list(records_.operatorPrefix());
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchRevision_ = reply.revision;
    const auto context = readContext(BootClock::now(), reply.silence);
    // Requests begin with the configuration, which therefore comes last: they must not go to a version that an order names.
    std::vector<StoreEntry> &entries = reply.entries;
    std::stable_partition(entries.begin(), entries.end(), [this](const StoreEntry &entry) { return entry.key != records_.configurationKey(); });
    for (const StoreEntry &entry : entries) {
        feed_.apply(entry, sentAt, context);
    }
    hasReadStore_ = true;
    return true;
}

bool ConfigurationDuty::watchOnce()
{
    const TimePoint sentAt = BootClock::now();
    const StoreListReply reply = store_.watch(records_.operatorPrefix(), watchRevision_, watchTimeout);
    if (reply.status == StoreStatus::NotFound) {
        watchRevision_ = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchRevision_ = std::max(watchRevision_, reply.revision);
    const auto context = readContext(BootClock::now(), reply.silence);
    for (const StoreEntry &entry : reply.entries) {
        feed_.apply(entry, sentAt - reply.age, context);
    }
    return true;
}

/// Entries read after failed calls, or after a gap in the watch, may have been written at any time since the failure or gap began.
ConfigurationFeed::ReadContext ConfigurationDuty::readContext(TimePoint now, Duration silence) const
{
    return {!hasReadStore_, std::max(silence, unwatchedSince_ ? now - *unwatchedSince_ : Duration::zero())};
}

void ConfigurationDuty::noteStoreState(bool isReachable)
{
    if (isReachable == isReachable_) {
        return;
    }
    isReachable_ = isReachable;
    writeLog(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "store_regained" : "store_lost", {{"duty", "configuration"}});
}

} // namespace Lovageloft
