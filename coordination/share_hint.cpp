#include "coordination/share_hint.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr int maxBackoffDoublings = 3;

} // namespace

void ShareHint::setLimits(double rate, double burst)
{
    rate_ = rate;
    burst_ = burst;
}

double ShareHint::estimate(TimePoint now) const
{
    if (isInBackoff(now)) {
        return 0;
    }
    if (!hasReply_) {
        return std::max(burst_ - requested_, 0.0);
    }
    const TimePoint reservationsEnd = std::clamp(reservedUntil_, observedAt_, std::max(now, observedAt_));
    const double balanceAtReservationsEnd = std::min(balance_ + rate_ * toSeconds(reservationsEnd - observedAt_), std::max(burst_ - reserved_, balance_));
    const double balance = std::min(balanceAtReservationsEnd + rate_ * toSeconds(now - reservationsEnd), burst_);
    return std::max(balance - requested_, 0.0);
}

double ShareHint::upperBound(TimePoint now, Duration maxAge) const
{
    if (isInBackoff(now)) {
        return 0;
    }
    const bool isOld = !hasReply_ || now - observedAt_ > maxAge;
    return isOld ? std::max(burst_ - requested_, 0.0) : estimate(now);
}

bool ShareHint::isSuspect() const
{
    return consecutiveTimeouts_ > 0;
}

bool ShareHint::isInBackoff(TimePoint now) const
{
    return now < backoffUntil_;
}

double ShareHint::rate() const
{
    return rate_;
}

double ShareHint::burst() const
{
    return burst_;
}

void ShareHint::onRequested(double amount)
{
    requested_ += amount;
}

void ShareHint::onReply(double requested, double balance, double reserved, TimePoint reservedUntil, TimePoint now)
{
    requested_ = std::max(requested_ - requested, 0.0);
    balance_ = balance;
    reserved_ = reserved;
    reservedUntil_ = reservedUntil;
    observedAt_ = now;
    hasReply_ = true;
    consecutiveTimeouts_ = 0;
    backoffUntil_ = {};
}

void ShareHint::onReturned(double amount)
{
    balance_ += amount;
    reserved_ = std::max(reserved_ - amount, 0.0);
}

void ShareHint::onRequestAbandoned(double requested)
{
    requested_ = std::max(requested_ - requested, 0.0);
}

void ShareHint::onTimeout(Duration initialBackoff, TimePoint now)
{
    backoffUntil_ = now + initialBackoff * (1 << std::min(consecutiveTimeouts_, maxBackoffDoublings));
    ++consecutiveTimeouts_;
}

} // namespace Lovageloft
