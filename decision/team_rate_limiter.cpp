#include "decision/team_rate_limiter.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr double initialFillFraction = 0.5;

/// Shortest Retry-After: with zero the caller would retry before any token was refilled.
constexpr Duration minRetryAfter = std::chrono::milliseconds(1);

/// Longest Retry-After: a request larger than the bucket's capacity would otherwise be told to wait for hours.
constexpr Duration maxRetryAfter = std::chrono::seconds(10);

} // namespace

TeamRateLimiter::TeamRateLimiter(LargeRequestPolicy largeRequestPolicy)
    : largeRequestPolicy_(largeRequestPolicy)
{
}

void TeamRateLimiter::setLimits(std::span<const TeamLimit> limits, TimePoint now)
{
    std::map<std::string, Bucket, std::less<>> buckets;
    for (const TeamLimit &limit : limits) {
        const auto previous = buckets_.find(limit.name);
        Bucket bucket;
        if (previous != buckets_.end()) {
            bucket = previous->second;
            refill(bucket, now);
            bucket.limit = limit;
            bucket.tokens = std::min(bucket.tokens, capacity(bucket));
        } else {
            bucket = {limit, 0, now};
            bucket.tokens = capacity(bucket) * initialFillFraction;
        }
        buckets.emplace(limit.name, bucket);
    }
    buckets_ = std::move(buckets);
}

void TeamRateLimiter::setShare(double share, TimePoint now)
{
    for (auto &[name, bucket] : buckets_) {
        refill(bucket, now);
    }
    share_ = std::clamp(share, 0.0, 1.0);
    for (auto &[name, bucket] : buckets_) {
        bucket.tokens = std::min(bucket.tokens, capacity(bucket));
    }
}

bool TeamRateLimiter::tryConsume(std::string_view team, double tokens, TimePoint now, Reason &reason, Duration &retryAfter)
{
    const auto found = buckets_.find(team);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return true;
    }
    Bucket &bucket = found->second;
    refill(bucket, now);
    const double needed = largeRequestPolicy_ == LargeRequestPolicy::AllowDebt ? std::min(tokens, capacity(bucket)) : tokens;
    if (bucket.tokens >= needed) {
        bucket.tokens -= tokens;
        return true;
    }
    reason = {ResultCode::OverRate, "team is over its rate"};
    const double missing = std::min(tokens, capacity(bucket)) - bucket.tokens;
    const double rate = bucket.limit.rate * share_;
    retryAfter = rate > 0 ? std::clamp(fromSeconds(missing / rate), minRetryAfter, maxRetryAfter) : maxRetryAfter;
    return false;
}

void TeamRateLimiter::resetBucket(std::string_view team, double fillFraction, TimePoint since)
{
    const auto found = buckets_.find(team);
    if (found != buckets_.end()) {
        found->second.tokens = fillFraction * capacity(found->second);
        found->second.refilledAt = since;
    }
}

void TeamRateLimiter::refund(std::string_view team, double tokens)
{
    const auto found = buckets_.find(team);
    if (found != buckets_.end()) {
        found->second.tokens = std::min(found->second.tokens + tokens, capacity(found->second));
    }
}

void TeamRateLimiter::refill(Bucket &bucket, TimePoint now) const
{
    const double seconds = std::max(0.0, toSeconds(now - bucket.refilledAt));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    bucket.tokens = std::min(bucket.tokens + bucket.limit.rate * share_ * seconds, capacity(bucket));
}

double TeamRateLimiter::capacity(const Bucket &bucket) const
{
    return bucket.limit.burst * share_;
}

} // namespace Lovageloft
