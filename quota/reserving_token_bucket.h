#pragma once

#include "core/clock.h"

namespace Lovageloft
{

/// Rate and size of a token bucket.
struct TokenBucketLimit
{
    double rate = 0; ///< Tokens per second; 0 or less for no limit.
    double capacity = 0; ///< Tokens.
};

/// Reply to a request for tokens.
struct TokenReservation
{
    bool isGranted = false;
    Duration validIn{}; ///< If granted: the time until the tokens may be used; zero for at once.
    Duration retryAfter{}; ///< If refused: the time until the tokens would be available, 1 ms to 10 s.
};

/// Longest time for which tokens are reserved in advance. Reservations that outlive a bucket that is lost exceed its limit by at most what
/// it refills in this time.
inline constexpr Duration longestReservationWait = std::chrono::seconds(2);

/// Token bucket that also grants tokens which it does not hold yet, from a stated later time on. Reserved tokens are taken at once: the
/// bucket is in debt until it has refilled.
///
/// Reservations become valid in the order in which they were made; a later request gets no tokens before an earlier reservation is valid,
/// also if tokens are refunded in between. The tokens that are valid up to any time are those that a bucket without reservations would
/// have granted up to then. A request larger than the capacity gets its tokens from a full bucket, as it could never run otherwise. Not
/// thread-safe; reads no clock.
class ReservingTokenBucket
{
public:
    /// Holds `tokens` at once and refills from `since` on, which may be in the future.
    ReservingTokenBucket(const TokenBucketLimit &limit, double tokens, TimePoint since);

    /// Changes the limit and keeps the tokens, up to the new capacity. Reservations stay valid.
    void setLimit(const TokenBucketLimit &limit, TimePoint now);

    /// Takes `tokens` if they are available within `maxWait`, of which at most `longestReservationWait` counts. Refuses numbers that are
    /// negative or not finite.
    TokenReservation reserve(double tokens, Duration maxWait, TimePoint now);

    /// Returns the tokens of a request that did not run, up to the capacity.
    void refund(double tokens);

private:
    void refill(TimePoint now);

    TokenBucketLimit limit_;
    double tokens_ = 0; ///< Negative by what is reserved and not refilled yet.
    TimePoint refilledAt_;
    TimePoint lastValidAt_; ///< When the newest reservation becomes valid.
};

} // namespace Lovageloft
