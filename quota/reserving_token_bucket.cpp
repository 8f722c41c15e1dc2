#include "quota/reserving_token_bucket.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Shortest Retry-After: with zero the caller would retry before any token was refilled.
constexpr Duration minRetryAfter = std::chrono::milliseconds(1);

/// Longest Retry-After: a request larger than the bucket's capacity would otherwise be told to wait for hours.
constexpr Duration maxRetryAfter = std::chrono::seconds(10);

} // namespace

ReservingTokenBucket::ReservingTokenBucket(const TokenBucketLimit &limit, double tokens, TimePoint since)
    : limit_(limit)
    , tokens_(std::min(tokens, limit.capacity))
    , refilledAt_(since)
{
}

void ReservingTokenBucket::setLimit(const TokenBucketLimit &limit, TimePoint now)
{
    refill(now);
    limit_ = limit;
    tokens_ = std::min(tokens_, limit_.capacity);
}

TokenReservation ReservingTokenBucket::reserve(double tokens, Duration maxWait, TimePoint now)
{
    if (limit_.rate <= 0) {
        return {true};
    }
    if (!std::isfinite(tokens) || tokens < 0) {
        return {false, {}, maxRetryAfter};
    }
    refill(now);
    const double missing = std::min(tokens, limit_.capacity) - tokens_;
    const Duration refillWait = missing > 0 ? refilledAt_ - now + fromSeconds(missing / limit_.rate) : Duration::zero();
    const Duration wait = std::max({Duration::zero(), refillWait, lastValidAt_ - now});
    // A request larger than the capacity leaves more debt than it waits for.
    const bool mayBeReserved = wait <= std::min(maxWait, longestReservationWait) && tokens - tokens_ <= limit_.rate * toSeconds(longestReservationWait);
    if (wait > Duration::zero() && !mayBeReserved) {
        return {false, {}, std::clamp(wait, minRetryAfter, maxRetryAfter)};
    }
    tokens_ -= tokens;
    lastValidAt_ = now + wait;
    return {true, wait};
}

void ReservingTokenBucket::refund(double tokens)
{
    if (std::isfinite(tokens) && tokens > 0) {
        tokens_ = std::min(tokens_ + tokens, limit_.capacity);
    }
}

void ReservingTokenBucket::refill(TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(now - refilledAt_));
    refilledAt_ = std::max(refilledAt_, now);
    tokens_ = std::min(tokens_ + limit_.rate * seconds, limit_.capacity);
}

} // namespace Lovageloft
