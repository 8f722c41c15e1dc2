#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"
#include "core/result_code.h"

namespace Lovageloft
{

/// Limits the router's own retries to a part of its traffic.
///
/// Made for the loss of an engine or a slow fleet, when many requests fail at once. The harm prevented is a retry storm:
/// each failure sends the work again, the engines left get more than they can do, and their failures are sent again too.
class RetryBudget
{
public:
    /// What this host may add to the load by trying again. The usual limits: at most one retry for ten requests, so that the load on
    /// the targets left grows by a tenth at worst, which the space between the usual load and saturation absorbs. A host with a request
    /// every few seconds would then never retry; three in ten seconds from each of a few hosts are no storm for any target.
    struct Limits
    {
        double ratio = 0.1; ///< Retries per request.
        double minRetries = 3; ///< Retries in the window that are allowed whatever the traffic.
    };

    void setLimits(const Limits &limits);

    /// Counts a request that was sent to a target for the first time.
    void onRequest(TimePoint now);

    /// Whether `tryAcquire` would be allowed.
    bool canRetry(TimePoint now);

    /// Takes one retry from the budget; false with RetryBudgetSpent if retries would pass their part.
    bool tryAcquire(TimePoint now, Reason &reason);

private:
    /// The traffic of one second.
    struct Bucket
    {
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    // Ten seconds: long enough that a burst of failures doesn't meet an empty budget, short enough that the calm of the
    // last minute pays for no storm now.
    static constexpr std::size_t windowSeconds = 10;

    void advance(TimePoint now);
    Bucket total() const;

    Limits limits_;
    std::array<Bucket, windowSeconds> buckets_{};
    std::int64_t second_ = 0; ///< The second that the newest bucket holds.
};

} // namespace Lovageloft
