#include "gateway/weights_records.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// The store rejects shorter leases, and such a short record would be of no use.
constexpr Duration minLeaseTimeToLive = std::chrono::seconds(1);

constexpr Duration retryDelay = std::chrono::milliseconds(500);

} // namespace

WeightsRecords::WeightsRecords(Store &store, std::string prefix, Duration recentPeriod)
    : store_(store)
    , prefix_(std::move(prefix))
    , recentPeriod_(recentPeriod)
{
}

void WeightsRecords::record(const PublishedWeights &weights, TimePoint now)
{
    const std::string name = weightsKeyName(weights);
    const Duration remaining = weights.publishedAt + recentPeriod_ - now;
    if (weights.wereFoundAtStartup || remaining < minLeaseTimeToLive || now < nextAttempt_ || recorded_.contains(name)) {
        return;
    }
    const bool isWritten = write(weights, remaining);
    if (isWritten) {
        recorded_.insert(name);
    } else {
        nextAttempt_ = now + retryDelay;
    }
    writeLog(LogLevel::Info, "weights_recorded", {{"weights", name}, {"left_ms", toMillis(remaining)}, {"ok", isWritten}});
}

bool WeightsRecords::write(const PublishedWeights &weights, Duration remaining)
{
    const StoreLeaseReply lease = store_.grantLease(remaining);
    if (lease.status != StoreStatus::Ok) {
        return false;
    }
    const std::string name = weightsKeyName(weights);
    const StoreReply reply = store_.compareAndSwap(prefix_ + name, 0, name, lease.leaseId);
    return reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict; // On a conflict, another leader has written it already.
}

} // namespace Lovageloft
