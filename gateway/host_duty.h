#pragma once

#include <set>
#include <string>

#include "coordination/store.h"
#include "gateway/duty.h"
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
    /// `prefix` ends with a slash. `lifetime` of the lease must be longer than the proof of a key counts.
    HostDuty(Store &store, Gateway &gateway, std::string prefix, std::string hostName, Duration lifetime);

private:
    void run() override;
    bool step();
    bool takeLease();
    bool writeKey();
    bool countHosts();

    Store &store_;
    Gateway &gateway_;
    std::string prefix_;
    std::string key_;
    Duration lifetime_;
    StoreBackoff backoff_;
    std::int64_t leaseId_ = 0;
    bool isWritten_ = false;
    TimePoint nextRenewal_;
    TimePoint nextCount_;
    std::size_t lastCount_ = 0;
    TimePoint countedSince_; ///< When the number of hosts was first seen as it is.
};

} // namespace Lovageloft
