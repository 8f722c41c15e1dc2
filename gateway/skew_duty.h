#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

/// Writes the key that tells that a service has targets of several software versions, under a lease of `timeToLive`. Returns whether the store holds
/// it then.
bool writeSkewRecord(Store &store, const std::string &prefix, const std::string &service, Duration timeToLive);

/// Records in the store which services have had several versions lately, for hosts that start when all others have ended.
///
/// A version that is new gets no stream before its service is recorded, so a write that fails is repeated at once and not with the next renewal.
class SkewDuty final : public Duty
{
public:
    /// `prefix` is that of the keys; the rest of a key is the service's name.
    SkewDuty(Store &store, std::string prefix);

    /// Queues the names of services to be recorded for this long. Thread-safe.
    void record(const std::vector<std::string> &services, Duration timeToLive);

private:
    void run() override;
    bool writePending();

    Store &store_;
    std::string prefix_;
    Backoff backoff_ = storeBackoff();
    std::mutex mutex_;
    std::map<std::string, Duration> pending_; ///< Time to live by service; guarded by `mutex_`.
};

} // namespace Lovageloft
