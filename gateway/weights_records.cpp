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

void WeightsRecords::keep(const NamedWeights &weights, TimePoint now)
{
    const Duration left = weights.learntAt + youth_ - now;
    if (weights.wereThereAtStart || left < shortestLease || now < nextTry_ || kept_.contains(nameOf(weights))) {
        return;
    }
    if (write(weights, left)) {
        kept_.insert(nameOf(weights));
    } else {
        nextTry_ = now + retryPause;
    }
    writeLog(LogLevel::Info, "weights_recorded", {{"weights", nameOf(weights)}, {"left_ms", toMillis(left)}, {"ok", kept_.contains(nameOf(weights))}});
}

bool WeightsRecords::write(const NamedWeights &weights, Duration left)
{
    const StoreLeaseReply lease = store_.grantLease(left);
    if (lease.status != StoreStatus::Ok) {
        return false;
    }
    const StoreReply reply = store_.compareAndSwap(prefix_ + nameOf(weights), 0, nameOf(weights), lease.leaseId);
    return reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict; // Another leader wrote it before.
}

} // namespace Lovageloft
