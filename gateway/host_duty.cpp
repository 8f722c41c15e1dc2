#include "gateway/host_duty.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "core/log.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

/// A renewal that fails is tried again several times a second for the other half of the lease's life.
constexpr int renewalsPerLife = 2;

/// Longest wait of one watch; renewals of the lease come between two of them.
constexpr Duration watchTime = std::chrono::seconds(2);

/// A part grows only once fewer hosts have been seen for this long: hosts that start together would otherwise each take the whole.
constexpr Duration settleTime = std::chrono::seconds(3);

/// Between two watches, so that a herd of restarts is taken in few calls.
constexpr Duration watchPause = std::chrono::milliseconds(200);

/// Of a key that keeps a request in quarantine: the longest lease.
constexpr Duration quarantineLifetime = std::chrono::minutes(10);

/// Requests in quarantine that wait to be written while the store is away.
constexpr std::size_t mostUnrecorded = 256;

} // namespace

HostDuty::HostDuty(Store &store, Gateway &gateway, Options options)
    : store_(store)
    , gateway_(gateway)
    , options_(std::move(options))
    , key_(options_.hostsPrefix + options_.hostName)
{
}

void HostDuty::run()
{
    while (!isStopped()) {
        if (step()) {
            backoff_.reset();
            pause(watchPause);
        } else {
            pause(backoff_.nextDelay());
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
            forgetLease();
            return true;
        }
        if (reply.status != StoreStatus::Ok) {
            return false;
        }
        nextRenewal_ = now + options_.leaseTimeToLive / renewalsPerLife;
    }
    writeQuarantines();
    return followHosts();
}

void HostDuty::recordQuarantine(RequestFingerprint request)
{
    const std::lock_guard lock(mutex_);
    if (!options_.quarantinePrefix.empty() && unrecorded_.size() < mostUnrecorded) {
        unrecorded_.push_back(request);
    }
}

/// Two homes write each key: that it exists already is as good.
void HostDuty::writeQuarantines()
{
    std::vector<RequestFingerprint> requests;
    {
        const std::lock_guard lock(mutex_);
        requests.swap(unrecorded_);
    }
    if (requests.empty()) {
        return;
    }
    const StoreLeaseReply lease = store_.grantLease(quarantineLifetime);
    for (const RequestFingerprint request : requests) {
        StoreReply reply;
        if (lease.status == StoreStatus::Ok) {
            reply = store_.compareAndSwap(options_.quarantinePrefix + fingerprintText(request), 0, {}, lease.leaseId);
        }
        if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::Conflict) {
            recordQuarantine(request);
        }
    }
}

void HostDuty::takeQuarantine(std::string_view name)
{
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), value, hexadecimal);
    if (error == std::errc() && end == name.data() + name.size()) {
        options_.onQuarantined(RequestFingerprint{value});
    }
}

bool HostDuty::takeLease()
{
    const TimePoint now = BootClock::now();
    const StoreLeaseReply reply = store_.grantLease(options_.leaseTimeToLive);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    leaseId_ = reply.leaseId;
    nextRenewal_ = now + options_.leaseTimeToLive / renewalsPerLife;
    return true;
}

/// Takes the key over from an earlier process of this host, whose lease would otherwise remove it.
bool HostDuty::writeKey()
{
    const std::string value = hostRecordText(options_.record);
    StoreReply reply = store_.compareAndSwap(key_, 0, value, leaseId_);
    if (reply.status == StoreStatus::Conflict) {
        reply = store_.compareAndSwap(key_, reply.entry.revision, value, leaseId_);
    }
    if (reply.status == StoreStatus::NotFound) {
        // After a standstill the watch can tell of the deleted key before a renewal tells of the lapsed lease. No renewal comes before
        // the key is written: without a new lease the other hosts would never count this one again.
        forgetLease();
        return false;
    }
    isWritten_ = reply.status == StoreStatus::Ok;
    return isWritten_;
}

void HostDuty::forgetLease()
{
    writeLog(LogLevel::Warning, "host_lease_lapsed", {{"lease", leaseId_}});
    leaseId_ = 0;
    isWritten_ = false;
}

bool HostDuty::followHosts()
{
    if (watchFrom_ == 0 && !readAll()) {
        return false;
    }
    const StoreListReply reply = store_.watch(options_.prefix, watchFrom_, watchTime);
    if (reply.status != StoreStatus::Ok) {
        watchFrom_ = 0;
        return reply.status == StoreStatus::NotFound;
    }
    watchFrom_ = std::max(watchFrom_, reply.revision);
    for (const StoreEntry &entry : reply.entries) {
        take(entry);
    }
    publish();
    return true;
}

bool HostDuty::readAll()
{
    const StoreListReply reply = store_.list(options_.prefix);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchFrom_ = reply.revision;
    hosts_.clear();
    for (const StoreEntry &entry : reply.entries) {
        take(entry);
    }
    isWritten_ = hosts_.contains(options_.hostName);
    const auto isLeader = [this](const StoreEntry &entry) { return entry.key == options_.leaderKey; };
    if (std::none_of(reply.entries.begin(), reply.entries.end(), isLeader)) {
        takeLeader({options_.leaderKey, {}, 0, true});
    }
    if (!std::exchange(hasRead_, true)) {
        takeYoungWeights(reply);
    }
    publish();
    return true;
}

void HostDuty::take(const StoreEntry &entry)
{
    if (!options_.quarantinePrefix.empty() && entry.key.starts_with(options_.quarantinePrefix)) {
        if (!entry.isDeleted) {
            takeQuarantine(std::string_view(entry.key).substr(options_.quarantinePrefix.size()));
        }
        return;
    }
    if (!entry.key.starts_with(options_.hostsPrefix)) {
        takeLeader(entry);
        return;
    }
    const std::string name = entry.key.substr(options_.hostsPrefix.size());
    const auto record = parseHostRecord(entry.value);
    if (entry.isDeleted) {
        hosts_.erase(name);
    } else if (record) {
        hosts_.insert_or_assign(name, *record);
    }
    if (entry.isDeleted && name == options_.hostName) {
        isWritten_ = false;
    }
}

void HostDuty::takeYoungWeights(const StoreListReply &reply)
{
    std::set<std::string> names;
    for (const StoreEntry &entry : reply.entries) {
        if (entry.key.starts_with(options_.weightsPrefix)) {
            names.insert(entry.key.substr(options_.weightsPrefix.size()));
        }
    }
    gateway_.post([names = std::move(names)](Gateway &gateway) { gateway.setRecentWeights(names); });
}

/// The value begins with the holder's name, and that with its host's.
void HostDuty::takeLeader(const StoreEntry &entry)
{
    if (entry.key != options_.leaderKey) {
        return;
    }
    const std::string leader = entry.isDeleted ? std::string() : entry.value.substr(0, entry.value.find('/'));
    options_.onLeader(leader);
    gateway_.post([leader](Gateway &gateway) { gateway.setLeader(leader); });
}

void HostDuty::publish()
{
    const TimePoint now = BootClock::now();
    const double even = 1.0 / static_cast<double>(std::max<std::size_t>(hosts_.size(), 1));
    if (even < share_ || share_ == 0) {
        // Hosts that start together see each other one after another: until that has settled, one more is reckoned with.
        share_ = share_ == 0 ? 1.0 / static_cast<double>(hosts_.size() + 1) : even;
        changedAt_ = now;
    } else if (even > share_ && now - changedAt_ >= settleTime) {
        share_ = even;
        changedAt_ = now;
    }
    options_.onHosts(dutyHosts(capacitiesOf(hosts_)), hosts_.size());
    writeLog(LogLevel::Debug, "hosts_known", {{"hosts", static_cast<std::int64_t>(hosts_.size())}, {"share", share_}});
    gateway_.post([hosts = hosts_, share = share_](Gateway &gateway) { gateway.setHosts(hosts, share); });
}

} // namespace Lovageloft
