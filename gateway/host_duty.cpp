#include "gateway/host_duty.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "core/log.h"
#include "gateway/gateway.h"
#include "gateway/skew_duty.h"

namespace Lovageloft
{

namespace
{

/// Renewing at half of the time to live leaves the other half for retries, several a second.
constexpr int renewalsPerTimeToLive = 2;

/// Timeout of one watch; the lease is renewed between watches.
constexpr Duration watchTimeout = std::chrono::seconds(2);

/// How long a smaller number of hosts must last before the share grows. Hosts that start together would otherwise each take the whole rate.
constexpr Duration shareIncreaseDelay = std::chrono::seconds(3);

/// Pause between two watches, so that many simultaneous restarts are read in few calls.
constexpr Duration pauseBetweenWatches = std::chrono::milliseconds(200);

/// Time to live of the key of a quarantined request: the longest possible lease.
constexpr Duration quarantineTimeToLive = std::chrono::minutes(10);

/// Maximum number of quarantined requests that wait to be written during a store outage.
constexpr std::size_t maxUnwrittenQuarantines = 256;

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
            sleepFor(pauseBetweenWatches);
        } else {
            sleepFor(backoff_.nextDelay());
        }
    }
    if (leaseId_ != 0) {
        store_.revokeLease(leaseId_);
    }
}

bool HostDuty::step()
{
    if (leaseId_ == 0 && !acquireLease()) {
        return false;
    }
    if (!isKeyWritten_ && !writeKey()) {
        return false;
    }
    const TimePoint now = BootClock::now();
    if (now >= nextRenewal_) {
        const StoreLeaseReply reply = store_.keepAlive(leaseId_);
        if (reply.status == StoreStatus::NotFound) {
            dropLease();
            return true;
        }
        if (reply.status != StoreStatus::Ok) {
            return false;
        }
        nextRenewal_ = now + options_.leaseTimeToLive / renewalsPerTimeToLive;
    }
    writeQuarantines();
    writeVersions();
    return watchStore();
}

void HostDuty::recordQuarantine(RequestFeature request)
{
    const std::lock_guard lock(mutex_);
    if (!options_.quarantinePrefix.empty() && unwrittenQuarantines_.size() < maxUnwrittenQuarantines) {
        unwrittenQuarantines_.push_back(request);
    }
}

/// Both home hosts of a request write its key, so a conflict counts as success.
void HostDuty::writeQuarantines()
{
    std::vector<RequestFeature> requests;
    {
        const std::lock_guard lock(mutex_);
        requests.swap(unwrittenQuarantines_);
    }
    if (requests.empty()) {
        return;
    }
    const StoreLeaseReply lease = store_.grantLease(quarantineTimeToLive);
    for (const RequestFeature request : requests) {
        StoreReply reply;
        if (lease.status == StoreStatus::Ok) {
            reply = store_.compareAndSwap(options_.quarantinePrefix + featureText(request), 0, {}, lease.leaseId);
        }
        if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::Conflict) {
            recordQuarantine(request);
        }
    }
}

void HostDuty::applyQuarantine(std::string_view name)
{
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), value, hexadecimal);
    if (error == std::errc() && end == name.data() + name.size()) {
        options_.onQuarantined(RequestFeature{value});
    }
}

void HostDuty::recordServingVersions(const std::map<std::string, std::string> &versions, Duration skewTimeToLive)
{
    const std::lock_guard lock(mutex_);
    if (!options_.versionsPrefix.empty()) {
        unwrittenVersions_ = versions;
        skewTimeToLive_ = skewTimeToLive;
    }
}

/// Before the record of a service's version is replaced, it is recorded that the service has had several. A host that starts in between and lists
/// targets of the new version only would take it for the one that began all streams.
bool HostDuty::mayReplaceVersion(const std::string &service, const StoreEntry &known, Duration skewTimeToLive)
{
    return known.revision == 0 || options_.skewPrefix.empty() || writeSkewRecord(store_, options_.skewPrefix, service, skewTimeToLive);
}

void HostDuty::writeVersions()
{
    std::map<std::string, std::string> versions;
    Duration skewTimeToLive{};
    {
        const std::lock_guard lock(mutex_);
        versions.swap(unwrittenVersions_);
        skewTimeToLive = skewTimeToLive_;
    }
    for (const auto &[service, version] : versions) {
        StoreEntry &known = versionRecords_[service];
        if (known.revision != 0 && known.value == version) {
            continue;
        }
        StoreReply reply;
        if (mayReplaceVersion(service, known, skewTimeToLive)) {
            reply = store_.compareAndSwap(options_.versionsPrefix + service, known.revision, version, 0);
        }
        const bool isOk = reply.status == StoreStatus::Ok;
        writeLog(LogLevel::Info, "version_recorded", {{"service", service}, {"version", version}, {"ok", isOk}});
        if (isOk) {
            known = {options_.versionsPrefix + service, version, reply.entry.revision, false};
        } else if (reply.status == StoreStatus::Conflict) {
            known = std::move(reply.entry);
        } else {
            const std::lock_guard lock(mutex_);
            unwrittenVersions_.emplace(service, version);
        }
    }
    if (!versions.empty()) {
        reportVersions();
    }
}

/// To be called after the version records have been read.
void HostDuty::reportEarlierVersions()
{
    gateway_.post([skewed = skewed_, serving = servingVersions()](Gateway &gateway) { gateway.streams().setEarlier(skewed, serving); });
}

void HostDuty::reportSkew()
{
    gateway_.post([skewed = skewed_](Gateway &gateway) {
        gateway.versions().setSkewRecorded(skewed);
        gateway.streams().setSkewed(skewed);
    });
}

/// To be called after all other reports of what was read.
void HostDuty::reportApplied()
{
    gateway_.post([onApplied = options_.onApplied, revision = watchRevision_](Gateway &) { onApplied(revision); });
}

bool HostDuty::isSkewRecord(const StoreEntry &entry) const
{
    return !options_.skewPrefix.empty() && entry.key.starts_with(options_.skewPrefix);
}

void HostDuty::applySkew(const StoreEntry &entry)
{
    const std::string service = entry.key.substr(options_.skewPrefix.size());
    if (entry.isDeleted) {
        skewed_.erase(service);
    } else {
        skewed_.insert(service);
    }
}

std::map<std::string, std::string, std::less<>> HostDuty::servingVersions() const
{
    std::map<std::string, std::string, std::less<>> versions;
    for (const auto &[service, entry] : versionRecords_) {
        if (entry.revision != 0 && !entry.isDeleted) {
            versions.emplace(service, entry.value);
        }
    }
    return versions;
}

void HostDuty::reportVersions()
{
    gateway_.post([versions = servingVersions()](Gateway &gateway) { gateway.versions().setRecorded(versions); });
}

/// To be called after reportVersions(): a completed rollout is recorded after the version that it leaves.
void HostDuty::reportRollouts(const StoreListReply &reply)
{
    for (const StoreEntry &entry : reply.entries) {
        if (options_.rolloutsPrefix.empty() || !entry.key.starts_with(options_.rolloutsPrefix) || entry.isDeleted) {
            continue;
        }
        const std::string service = entry.key.substr(options_.rolloutsPrefix.size());
        if (const auto record = parseRolloutRecord(entry.value)) {
            gateway_.post([service, record](Gateway &gateway) { gateway.rollouts().setRecord(service, *record); });
        } else {
            writeLog(LogLevel::Warning, "rollout_record_unreadable", {{"service", service}, {"revision", entry.revision}});
        }
    }
}

bool HostDuty::acquireLease()
{
    const TimePoint now = BootClock::now();
    const StoreLeaseReply reply = store_.grantLease(options_.leaseTimeToLive);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    leaseId_ = reply.leaseId;
    nextRenewal_ = now + options_.leaseTimeToLive / renewalsPerTimeToLive;
    return true;
}

/// Writes the key of this host. A key left by an earlier process of this host is bound to the new lease, as the old lease would remove it.
bool HostDuty::writeKey()
{
    const std::string value = hostRecordText(options_.record);
    StoreReply reply = store_.compareAndSwap(key_, 0, value, leaseId_);
    if (reply.status == StoreStatus::Conflict) {
        reply = store_.compareAndSwap(key_, reply.entry.revision, value, leaseId_);
    }
    if (reply.status == StoreStatus::NotFound) {
        // After a stall the watch may report the deleted key before a renewal reports the expired lease. The lease is not renewed before
        // the key is written, so without a new lease the other hosts would never count this one again.
        dropLease();
        return false;
    }
    isKeyWritten_ = reply.status == StoreStatus::Ok;
    return isKeyWritten_;
}

void HostDuty::dropLease()
{
    writeLog(LogLevel::Warning, "host_lease_lapsed", {{"lease", leaseId()}});
    leaseId_ = 0;
    isKeyWritten_ = false;
}

bool HostDuty::watchStore()
{
    if (watchRevision_ == 0 && !readAll()) {
        return false;
    }
    const StoreListReply reply = store_.watch(options_.prefix, watchRevision_, watchTimeout);
    if (reply.status != StoreStatus::Ok) {
        watchRevision_ = 0;
        return reply.status == StoreStatus::NotFound;
    }
    watchRevision_ = std::max(watchRevision_, reply.revision);
    for (const StoreEntry &entry : reply.entries) {
        applyEntry(entry);
    }
    if (std::any_of(reply.entries.begin(), reply.entries.end(), [this](const StoreEntry &entry) { return isVersionRecord(entry); })) {
        reportVersions();
    }
    if (std::any_of(reply.entries.begin(), reply.entries.end(), [this](const StoreEntry &entry) { return isSkewRecord(entry); })) {
        reportSkew();
    }
    reportRollouts(reply);
    publishHosts();
    reportApplied();
    return true;
}

bool HostDuty::isVersionRecord(const StoreEntry &entry) const
{
    return !options_.versionsPrefix.empty() && entry.key.starts_with(options_.versionsPrefix);
}

bool HostDuty::readAll()
{
    const StoreListReply reply = store_.list(options_.prefix);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    watchRevision_ = reply.revision;
    hosts_.clear();
    versionRecords_.clear();
    skewed_.clear();
    for (const StoreEntry &entry : reply.entries) {
        applyEntry(entry);
    }
    reportSkew();
    reportVersions();
    reportRollouts(reply);
    isKeyWritten_ = hosts_.contains(options_.hostName);
    const auto isLeader = [this](const StoreEntry &entry) { return entry.key == options_.leaderKey; };
    if (std::none_of(reply.entries.begin(), reply.entries.end(), isLeader)) {
        applyLeader({options_.leaderKey, {}, 0, true});
    }
    if (!std::exchange(hasReadStore_, true)) {
        reportRecentWeights(reply);
        reportEarlierVersions();
    }
    publishHosts();
    reportApplied();
    return true;
}

void HostDuty::applyEntry(const StoreEntry &entry)
{
    if (!options_.quarantinePrefix.empty() && entry.key.starts_with(options_.quarantinePrefix)) {
        if (!entry.isDeleted) {
            applyQuarantine(std::string_view(entry.key).substr(options_.quarantinePrefix.size()));
        }
        return;
    }
    if (isSkewRecord(entry)) {
        applySkew(entry);
        return;
    }
    if (isVersionRecord(entry)) {
        versionRecords_[entry.key.substr(options_.versionsPrefix.size())] = entry;
        return;
    }
    if (!entry.key.starts_with(options_.hostsPrefix)) {
        applyLeader(entry);
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
        isKeyWritten_ = false;
    }
}

void HostDuty::reportRecentWeights(const StoreListReply &reply)
{
    std::set<std::string> names;
    for (const StoreEntry &entry : reply.entries) {
        if (entry.key.starts_with(options_.weightsPrefix)) {
            names.insert(entry.key.substr(options_.weightsPrefix.size()));
        }
    }
    gateway_.post([names = std::move(names)](Gateway &gateway) { gateway.setRecentWeights(names); });
}

/// Reports the holder of the leader key. Its value starts with the host name, up to the first slash.
void HostDuty::applyLeader(const StoreEntry &entry)
{
    if (entry.key != options_.leaderKey) {
        return;
    }
    const std::string leader = entry.isDeleted ? std::string() : entry.value.substr(0, entry.value.find('/'));
    options_.onLeader(leader);
    gateway_.post([leader](Gateway &gateway) { gateway.setLeader(leader); });
}

void HostDuty::publishHosts()
{
    const TimePoint now = BootClock::now();
    const double evenShare = 1.0 / static_cast<double>(std::max<std::size_t>(hosts_.size(), 1));
    if (evenShare < share_ || share_ == 0) {
        // Hosts that start together see each other one by one. The first share is computed for one more host, until the count has settled.
        share_ = share_ == 0 ? 1.0 / static_cast<double>(hosts_.size() + 1) : evenShare;
        shareChangedAt_ = now;
    } else if (evenShare > share_ && now - shareChangedAt_ >= shareIncreaseDelay) {
        share_ = evenShare;
        shareChangedAt_ = now;
    }
    options_.onHosts(dutyHosts(capacitiesOf(hosts_)), hosts_.size());
    writeLog(LogLevel::Debug, "hosts_known", {{"hosts", static_cast<std::int64_t>(hosts_.size())}, {"share", share_}});
    gateway_.post([hosts = hosts_, share = share_](Gateway &gateway) { gateway.setHosts(hosts, share); });
}

} // namespace Lovageloft
