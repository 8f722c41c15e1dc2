#include "gateway/configuration_duty.h"

#include <algorithm>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Longest wait of one watch; a returning one costs a call.
constexpr Duration watchTime = std::chrono::seconds(3);

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
        const bool isOk = watchFrom_ == 0 ? readAll() : watchOnce();
        noteStore(isOk);
        const bool hasWatch = isOk && watchFrom_ != 0;
        deafSince_ = hasWatch ? std::nullopt : std::optional(deafSince_.value_or(calledAt));
        if (isOk) {
            backoff_.reset();
        } else {
            pause(backoff_.nextDelay());
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
    const auto heard = hearing(BootClock::now(), reply.silence);
    for (const StoreEntry &entry : reply.entries) {
        feed_.apply(entry, sentAt, heard);
    }
    hasRead_ = true;
    return true;
}

bool ConfigurationDuty::watchOnce()
{
    const TimePoint sentAt = BootClock::now();
    const StoreListReply reply = store_.watch(records_.operatorPrefix(), watchFrom_, watchTime);
    if (reply.status == StoreStatus::NotFound) {
        watchFrom_ = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchFrom_ = std::max(watchFrom_, reply.revision);
    const auto heard = hearing(BootClock::now(), reply.silence);
    for (const StoreEntry &entry : reply.entries) {
        feed_.apply(entry, sentAt - reply.age, heard);
    }
    return true;
}

/// What is read after calls that failed, or after a gap in what a watch told, may have been written at any time since.
ConfigurationFeed::Hearing ConfigurationDuty::hearing(TimePoint now, Duration silence) const
{
    return {!hasRead_, std::max(silence, deafSince_ ? now - *deafSince_ : Duration::zero())};
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
