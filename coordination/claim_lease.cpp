#include "coordination/claim_lease.h"

namespace Lovageloft
{

ClaimLease::ClaimLease(ClaimOptions options)
    : options_(options)
{
}

std::optional<std::int64_t> ClaimLease::current(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (leaseId_ == 0 || now - grantedAt_ >= options_.leaseSharingTime) {
        return std::nullopt;
    }
    return leaseId_;
}

bool ClaimLease::acquire(Store &store, TimePoint now)
{
    const StoreLeaseReply reply = store.grantLease(options_.lifetime + options_.leaseSharingTime);
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    leaseId_ = reply.leaseId;
    grantedAt_ = now;
    return true;
}

void ClaimLease::invalidate(std::int64_t leaseId)
{
    const std::lock_guard lock(mutex_);
    if (leaseId_ == leaseId) {
        leaseId_ = 0;
    }
}

} // namespace Lovageloft
