#include "gateway/weights_records.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Shorter leases are refused by the store, and would tell nothing.
constexpr Duration shortestLease = std::chrono::seconds(1);

constexpr Duration retryPause = std::chrono::milliseconds(500);

} // namespace

WeightsRecords::WeightsRecords(Store &store, std::string prefix, Duration youth)
    : store_(store)
    , prefix_(std::move(prefix))
    , youth_(youth)
{
}

void WeightsRecords::keep(const PublishedWeights &weights, TimePoint now)
{
    const std::string name = weightsKeyName(weights);
    const Duration left = weights.publishedAt + youth_ - now;
    if (weights.wereFoundAtStartup || left < shortestLease || now < nextTry_ || kept_.contains(name)) {
        return;
    }
    const bool isWritten = write(weights, left);
    if (isWritten) {
        kept_.insert(name);
    } else {
        nextTry_ = now + retryPause;
    }
    writeLog(LogLevel::Info, "weights_recorded", {{"weights", name}, {"left_ms", toMillis(left)}, {"ok", isWritten}});
}

bool WeightsRecords::write(const PublishedWeights &weights, Duration left)
{
    const StoreLeaseReply lease = store_.grantLease(left);
    if (lease.status != StoreStatus::Ok) {
        return false;
    }
    const std::string name = weightsKeyName(weights);
    const StoreReply reply = store_.compareAndSwap(prefix_ + name, 0, name, lease.leaseId);
    return reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict; // Another leader wrote it before.
}

} // namespace Lovageloft
