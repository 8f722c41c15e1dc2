#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "coordination/request_fingerprint.h"
#include "coordination/store.h"
#include "core/settings.h"
#include "gateway/duty.h"
#include "gateway/host_record.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

class Gateway;

/// Keeps this host's key in the store under a lease, counts the hosts, and derives from that this host's part of the teams' rates.
///
/// The sum of all parts must not pass one while some hosts are cut off. A host counts as long as its lease stands, and stops
/// serving keyed requests before its lease can lapse: the lease outlives the proof that keyed requests need. So whoever no longer
/// counts no longer spends.
class HostDuty final : public Duty
{
public:
    struct Options
    {
        std::string prefix; ///< Of all that is watched; ends with a slash.
        std::string hostsPrefix; ///< Of the hosts' keys, within `prefix`.
        std::string weightsPrefix; ///< Of the keys of weights that were named lately, within `prefix`.
        std::string quarantinePrefix = {}; ///< Of the keys of requests in quarantine, within `prefix`; empty: they are neither kept nor read.
        std::string hostName;
        HostRecord record; ///< What others are told of this host.
        Duration leaseTimeToLive{}; ///< Of the lease; must be longer than the proof of a key counts.
        std::string leaderKey; ///< Under `prefix`.
        /// Called on the duty's thread with the host that holds that key; empty if nobody does.
        std::function<void(const std::string &host)> onLeader;
        /// The same with the hosts among which duties for others are given out, and how many hosts count in all.
        std::function<void(const std::vector<std::string> &candidates, std::size_t hosts)> onHosts;
        /// The same with a request that is in quarantine.
        std::function<void(RequestFingerprint)> onQuarantined = [](RequestFingerprint) {};
    };

    HostDuty(Store &store, Gateway &gateway, Options options);

    /// Keeps a request in quarantine for hosts that start later. From any thread.
    void recordQuarantine(RequestFingerprint request);

private:
    void run() override;
    bool step();
    bool takeLease();
    bool writeKey();
    void forgetLease();
    bool followHosts();
    void writeQuarantines();
    void takeQuarantine(std::string_view name);
    bool readAll();
    void take(const StoreEntry &entry);
    void takeLeader(const StoreEntry &entry);
    void takeYoungWeights(const StoreListReply &reply);
    void publish();

    Store &store_;
    Gateway &gateway_;
    Options options_;
    std::string key_;
    Backoff backoff_ = storeBackoff();
    std::int64_t leaseId_ = 0;
    bool isWritten_ = false;
    bool hasRead_ = false;
    TimePoint nextRenewal_;
    std::int64_t watchFrom_ = 0;
    std::map<std::string, HostRecord> hosts_;
    double share_ = 0;
    TimePoint changedAt_; ///< When the hosts were last seen to change.
    std::mutex mutex_;
    std::vector<RequestFingerprint> unrecorded_; ///< Under mutex_.
};

} // namespace Lovageloft
