#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "coordination/claim_table.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// The lease that the claims of one process share. A lease per claim would cost a third write to the store per call. Instead one is
/// granted per hour, with a time to live one hour longer than the lifetime of a claim. It is never kept alive. Thread-safe.
class ClaimLease
{
public:
    explicit ClaimLease(ClaimOptions options);

    /// The lease for a claim written now; nothing if the current lease would end before the claim's lifetime.
    std::optional<std::int64_t> current(TimePoint now);

    /// Acquires a new lease with one call to the store. Returns false if the call failed.
    bool acquire(Store &store, TimePoint now);

    /// Stops using a lease that the store reported as not found.
    void invalidate(std::int64_t leaseId);

private:
    ClaimOptions options_;
    std::mutex mutex_;
    std::int64_t leaseId_ = 0;
    TimePoint grantedAt_;
};

} // namespace Lovageloft
