#include "decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "decision/earliest_time.h"

namespace Lovageloft
{

namespace
{

/// Part of the rejection limit that is used.
constexpr double usedFraction = 0.8;

/// Rejections count for a second, and for the time by which reports of them may be late.
constexpr Duration rejectionWindow = std::chrono::milliseconds(1'100);

/// Rejections of requests that were sent before a decrease reached all hosts don't decrease the limit again.
constexpr Duration decreaseTime = std::chrono::milliseconds(60);

/// Wait after an accepted and after a rejected probe; the latter doubles up to a maximum.
constexpr Duration probeInterval = std::chrono::milliseconds(100);
constexpr Duration firstProbeDelay = std::chrono::milliseconds(500);
constexpr Duration maxProbeDelay = std::chrono::seconds(4);

/// Wait for a target that rejects though it holds nothing.
constexpr Duration emptyRejectionPause = std::chrono::milliseconds(500);

} // namespace

void ConcurrencyLimit::setRejectionLimit(double rejectionsPerSecond)
{
    constexpr double maxBudget = 1'000;
    budget_ = static_cast<std::size_t>(std::clamp(std::floor(rejectionsPerSecond * usedFraction), 1.0, maxBudget));
}

void ConcurrencyLimit::setRejectionTime(Duration time)
{
    rejectionTime_ = time;
}

bool ConcurrencyLimit::canSend(std::size_t inUse, std::size_t undecided, TimePoint now) const
{
    if (undecided + recentRejections(now) >= budget_ || now < pausedUntil_) {
        return false;
    }
    if (!limit_ || inUse < *limit_) {
        return true;
    }
    return now >= nextProbeAt_ && inUse < *limit_ + probeStep_;
}

bool ConcurrencyLimit::onSent(std::size_t inUse)
{
    const bool isProbe = limit_ && inUse >= *limit_;
    if (isProbe) {
        probe_ = inUse + 1;
    }
    return isProbe;
}

void ConcurrencyLimit::onRejected(std::size_t inUse, TimePoint now)
{
    rejectedAt_.push_back(now);
    while (now - rejectedAt_.front() > rejectionWindow) {
        rejectedAt_.pop_front();
    }
    if (inUse == 0) {
        pausedUntil_ = now + emptyRejectionPause;
    }
    if (probe_) {
        probe_.reset();
        probeDelay_ = std::clamp(probeDelay_ * 2, firstProbeDelay, maxProbeDelay);
    } else if (now - decreasedAt_ > decreaseTime + rejectionTime_) {
        limit_ = std::max<std::size_t>(1, std::min(limit_.value_or(inUse), inUse) / 2);
        probeDelay_ = Duration::zero();
    }
    decreasedAt_ = now;
    probeStep_ = 1;
    nextProbeAt_ = now + std::max(probeDelay_, probeInterval);
}

void ConcurrencyLimit::onProbeAccepted(TimePoint now)
{
    if (!probe_) {
        return;
    }
    limit_ = std::max(*limit_, *probe_);
    probe_.reset();
    probeStep_ = std::min(probeStep_ * 2, budget_);
    probeDelay_ = Duration::zero();
    nextProbeAt_ = now + probeInterval;
}

void ConcurrencyLimit::onProbeCancelled()
{
    probe_.reset();
}

std::size_t ConcurrencyLimit::recentRejections(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(rejectedAt_.begin(), rejectedAt_.end(), [now](TimePoint at) { return now - at <= rejectionWindow; }));
}

std::optional<TimePoint> ConcurrencyLimit::nextChange(TimePoint now) const
{
    EarliestTime next(now);
    next.consider(pausedUntil_);
    if (limit_) {
        next.consider(nextProbeAt_);
    }
    for (const TimePoint at : rejectedAt_) {
        next.consider(at + rejectionWindow + Duration(1));
    }
    return next.value();
}

} // namespace Lovageloft
