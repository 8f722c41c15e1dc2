#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"
#include "core/result_code.h"

namespace Lovageloft
{

/// Limits the router's own retries to a fraction of its traffic.
///
/// Prevents retry storms when many requests fail at once, as after the loss of an engine or with a slow fleet: each failure is
/// retried, the remaining engines are overloaded, and their failures are retried too.
class RetryBudget
{
public:
    /// Limits of the load that retries by this host may add. By default at most one retry for ten requests, so that the load on the
    /// remaining targets grows by at most a tenth, which the margin between usual load and saturation absorbs. A host with one request
    /// every few seconds could then never retry, so three retries in ten seconds are always allowed; from a few hosts these can't
    /// overload a target.
    struct Limits
    {
        double ratio = 0.1; ///< Retries per request.
        double minRetries = 3; ///< Retries per window that are allowed whatever the traffic.
    };

    void setLimits(const Limits &limits);

    /// Counts a first attempt of a request.
    void onRequest(TimePoint now);

    /// Whether `tryAcquire` would succeed now.
    bool canRetry(TimePoint now);

    /// Consumes one retry of the budget; false with RetryBudgetSpent if the limits are reached.
    bool tryAcquire(TimePoint now, Reason &reason);

private:
    /// Traffic of one second.
    struct Bucket
    {
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    // Long enough that a burst of failures doesn't find an empty budget, short enough that the requests of a minute ago don't
    // allow a retry storm now.
    static constexpr std::size_t windowSeconds = 10;

    void advance(TimePoint now);
    Bucket total() const;

    Limits limits_;
    std::array<Bucket, windowSeconds> buckets_{};
    std::int64_t newestSecond_ = 0; ///< Second that the newest bucket counts.
};

} // namespace Lovageloft
