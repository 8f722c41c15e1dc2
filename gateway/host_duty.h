#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "coordination/request_feature.h"
#include "coordination/store.h"
#include "core/settings.h"
#include "gateway/duty.h"
#include "gateway/host_record.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

class Gateway;

/// Keeps this host's key in the store under a lease, counts the hosts, and derives this host's share of the teams' rate limits.
/// Also reads the leader, the quarantined requests and, at startup, the recent weights.
///
/// The share is 1 divided by the number of hosts. The shares must not add up to more than one, even while some hosts are partitioned from
/// the store. A host counts while its lease is valid. Requests with an API key need a configuration proof, and the proof expires before the
/// lease. So a host that is no longer counted serves no such requests and consumes none of the rate.
class HostDuty final : public Duty
{
public:
    struct Options
    {
        std::string prefix; ///< Prefix of everything that is watched; ends with a slash.
        std::string hostsPrefix; ///< Prefix of the hosts' keys, within `prefix`.
        std::string weightsPrefix; ///< Prefix of the WeightsRecords keys, within `prefix`.
        std::string quarantinePrefix = {}; ///< Prefix of the keys of quarantined requests, within `prefix`; empty: none are written or read.
        std::string versionsPrefix = {}; ///< Prefix of the keys that hold the serving version of a service, within `prefix`; empty: none are written or read.
        std::string skewPrefix = {}; ///< Prefix of the SkewDuty keys, within `prefix`; empty: none are written or read.
        std::string rolloutsPrefix = {}; ///< Prefix of the keys that hold a RolloutRecord, within `prefix`; empty: none are read.
        std::string hostName;
        HostRecord record; ///< Value of this host's key.
        Duration leaseTimeToLive{}; ///< Must be longer than a configuration proof is valid for keyed requests.
        std::string leaderKey; ///< Key of the leader lease, within `prefix`.
        /// Called on the duty's thread with the host that holds `leaderKey`; empty if there is none.
        std::function<void(std::int64_t revision)> onApplied = [](std::int64_t) {}; ///< Called on the event loop: all changes up to it are in force.
        std::function<void(const std::string &host)> onLeader;
        /// Called on the duty's thread with the hosts that may get fleet-wide tasks, and the total number of hosts.
        std::function<void(const std::vector<std::string> &candidates, std::size_t hosts)> onHosts;
        /// Called on the duty's thread with each quarantined request that the store holds.
        std::function<void(RequestFeature)> onQuarantined = [](RequestFeature) {};
    };

    HostDuty(Store &store, Gateway &gateway, Options options);

    /// Queues a quarantined request to be written to the store for hosts that start later. Its key expires after 10 minutes. Does nothing
    /// while 256 requests are queued, or if `quarantinePrefix` is empty. Thread-safe.
    void recordQuarantine(RequestFeature request);

    /// Queues serving versions, by service, to be written to the store. A version that another host has recorded meanwhile is not replaced but
    /// passed to the gateway. A service whose version is replaced is recorded for `skewTimeToLive` as having had several. Thread-safe.
    void recordServingVersions(const std::map<std::string, std::string> &versions, Duration skewTimeToLive);

    /// The lease of this host's key; 0 if there is none. Thread-safe.
    std::int64_t leaseId() const
    {
        return leaseId_;
    }

private:
    void run() override;
    bool step();
    bool acquireLease();
    bool writeKey();
    void dropLease();
    bool watchStore();
    void writeQuarantines();
    void applyQuarantine(std::string_view name);
    void writeVersions();
    bool mayReplaceVersion(const std::string &service, const StoreEntry &known, Duration skewTimeToLive);
    void reportEarlierVersions();
    void reportSkew();
    void reportApplied();
    bool isSkewRecord(const StoreEntry &entry) const;
    void applySkew(const StoreEntry &entry);
    std::map<std::string, std::string, std::less<>> servingVersions() const;
    void reportVersions();
    void reportRollouts(const StoreListReply &reply);
    bool readAll();
    bool isVersionRecord(const StoreEntry &entry) const;
    void applyEntry(const StoreEntry &entry);
    void applyLeader(const StoreEntry &entry);
    void reportRecentWeights(const StoreListReply &reply);
    void publishHosts();

    Store &store_;
    Gateway &gateway_;
    Options options_;
    std::string key_;
    Backoff backoff_ = storeBackoff();
    std::atomic<std::int64_t> leaseId_ = 0;
    bool isKeyWritten_ = false;
    bool hasReadStore_ = false;
    TimePoint nextRenewal_;
    std::int64_t watchRevision_ = 0;
    std::map<std::string, HostRecord> hosts_;
    std::map<std::string, StoreEntry> versionRecords_; ///< By service.
    std::set<std::string, std::less<>> skewed_; ///< Services that are recorded as having several versions.
    double share_ = 0;
    TimePoint shareChangedAt_;
    std::mutex mutex_;
    std::vector<RequestFeature> unwrittenQuarantines_; ///< Not yet written to the store; guarded by `mutex_`.
    std::map<std::string, std::string> unwrittenVersions_; ///< By service; guarded by `mutex_`.
    Duration skewTimeToLive_{}; ///< For services in `unwrittenVersions_`; guarded by `mutex_`.
};

} // namespace Lovageloft
