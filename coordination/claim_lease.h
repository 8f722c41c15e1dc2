#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "coordination/claim_table.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// The lease that the claims of one process share. A lease for each claim would cost the store a third write per call;
/// so one is granted an hour, an hour longer than a claim lives. It is never kept alive. Thread-safe.
class ClaimLease
{
public:
    explicit ClaimLease(ClaimOptions options);

    /// The lease for a claim written now, if the present one outlives it.
    std::optional<std::int64_t> current(TimePoint now);

    /// Grants a new lease: one call to the store. False if that failed.
    bool acquire(Store &store, TimePoint now);

    /// The store does not know the lease any more.
    void invalidate(std::int64_t leaseId);

private:
    ClaimOptions options_;
    std::mutex mutex_;
    std::int64_t leaseId_ = 0;
    TimePoint grantedAt_;
};

} // namespace Lovageloft
