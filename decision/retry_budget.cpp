#include "decision/retry_budget.h"

#include <algorithm>
#include <string>

namespace Lovageloft
{

void RetryBudget::setLimits(const Limits &limits)
{
    limits_ = limits;
}

void RetryBudget::onRequest(TimePoint now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(newestSecond_) % windowSeconds].requests;
}

bool RetryBudget::canRetry(TimePoint now)
{
    advance(now);
    const Bucket sum = total();
    return static_cast<double>(sum.retries) < std::max(limits_.minRetries, static_cast<double>(sum.requests) * limits_.ratio);
}

bool RetryBudget::tryAcquire(TimePoint now, Reason &reason)
{
    if (!canRetry(now)) {
        reason = {.code = ResultCode::RetryBudgetSpent, .text = std::string(resultCodeInfo(ResultCode::RetryBudgetSpent).meaning)};
        return false;
    }
    ++buckets_[static_cast<std::size_t>(newestSecond_) % windowSeconds].retries;
    return true;
}

void RetryBudget::advance(TimePoint now)
{
    const std::int64_t second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second <= newestSecond_) {
        return;
    }
    const std::int64_t firstStale = std::max(newestSecond_ + 1, second - static_cast<std::int64_t>(windowSeconds) + 1);
    for (std::int64_t stale = firstStale; stale <= second; ++stale) {
        buckets_[static_cast<std::size_t>(stale) % windowSeconds] = {};
    }
    newestSecond_ = second;
}

RetryBudget::Bucket RetryBudget::total() const
{
    Bucket sum;
    for (const Bucket &bucket : buckets_) {
        sum.requests += bucket.requests;
        sum.retries += bucket.retries;
    }
    return sum;
}

} // namespace Lovageloft
