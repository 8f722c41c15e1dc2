#include "gateway/host_duty.h"

#include <algorithm>

#include "core/log.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

constexpr int renewalsPerLife = 3;

/// Between two counts of the hosts: a host that joins is served by the slack in the teams' limits until all have counted it.
constexpr Duration countPause = std::chrono::milliseconds(1'500);

/// A part grows only once fewer hosts have been seen for this long: hosts that start together would otherwise each take the whole.
constexpr Duration settleTime = std::chrono::seconds(3);

constexpr Duration stepPause = std::chrono::milliseconds(250);

} // namespace

HostDuty::HostDuty(Store &store, Gateway &gateway, std::string prefix, std::string hostName, Duration lifetime)
    : store_(store)
    , gateway_(gateway)
    , prefix_(std::move(prefix))
    , key_(prefix_ + hostName)
    , lifetime_(lifetime)
{
}

void HostDuty::run()
{
    while (!isStopped()) {
        if (step()) {
            backoff_.reset();
            pause(stepPause);
        } else {
            pause(backoff_.next());
        }
    }
    if (leaseId_ != 0) {
        store_.revokeLease(leaseId_);
    }
}

bool HostDuty::step()
{
    if (leaseId_ == 0 && !takeLease()) {
        return false;
    }
    if (!isWritten_ && !writeKey()) {
        return false;
    }
    const TimePoint now = BootClock::now();
    if (now >= nextRenewal_) {
        const StoreLeaseReply reply = store_.keepAlive(leaseId_);
        if (reply.status == StoreStatus::NotFound) {
            writeLog(LogLevel::Warning, "host_lease_lapsed", {{"lease", leaseId_}});
            leaseId_ = 0;
            isWritten_ = false;
            return true;
        }
        if (reply.status != StoreStatus::Ok) {
            return false;
        }
        nextRenewal_ = now + lifetime_ / renewalsPerLife;
    }
    return now < nextCount_ || countHosts();
}

bool HostDuty::takeLease()
{
    const TimePoint now = BootClock::now();
    const StoreLeaseReply reply = store_.grantLease(lifetime_);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    leaseId_ = reply.leaseId;
    nextRenewal_ = now + lifetime_ / renewalsPerLife;
    return true;
}

/// Takes the key over from an earlier process of this host, whose lease would otherwise remove it.
bool HostDuty::writeKey()
{
    const StoreReply known = store_.get(key_);
    if (known.status != StoreStatus::Ok && known.status != StoreStatus::NotFound) {
        return false;
    }
    const StoreReply reply = store_.compareAndSwap(key_, known.status == StoreStatus::Ok ? known.entry.revision : 0, "lease " + std::to_string(leaseId_), leaseId_);
    isWritten_ = reply.status == StoreStatus::Ok;
    return isWritten_;
}

bool HostDuty::countHosts()
{
    const TimePoint now = BootClock::now();
    const StoreListReply reply = store_.list(prefix_);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    nextCount_ = now + countPause;
    const std::size_t count = std::max<std::size_t>(reply.entries.size(), 1);
    if (count != lastCount_) {
        const bool isFewer = count < lastCount_ || lastCount_ == 0;
        lastCount_ = count;
        countedSince_ = now;
        writeLog(LogLevel::Info, "hosts_counted", {{"hosts", static_cast<std::int64_t>(count)}, {"grows_later", isFewer}});
    }
    // Until the number has settled the part is at most what one more host would leave.
    const bool isSettled = now - countedSince_ >= settleTime;
    const double share = 1.0 / static_cast<double>(isSettled ? count : count + 1);
    gateway_.post([count, share](Gateway &gateway) { gateway.setHosts(count, share); });
    return true;
}

} // namespace Lovageloft
