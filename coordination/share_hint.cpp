#include "coordination/share_hint.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr int mostDoublings = 3;

} // namespace

void ShareHint::setLimits(double rate, double burst)
{
    rate_ = rate;
    burst_ = burst;
}

double ShareHint::estimate(TimePoint now) const
{
    if (isSilent(now)) {
        return 0;
    }
    if (!isKnown_) {
        return std::max(burst_ - asked_, 0.0);
    }
    const TimePoint split = std::clamp(reservedUntil_, seenAt_, std::max(now, seenAt_));
    const double crowded = std::min(balance_ + rate_ * toSeconds(split - seenAt_), std::max(burst_ - reserved_, balance_));
    const double balance = std::min(crowded + rate_ * toSeconds(now - split), burst_);
    return std::max(balance - asked_, 0.0);
}

double ShareHint::greatest(TimePoint now, Duration age) const
{
    if (isSilent(now)) {
        return 0;
    }
    const bool isOld = !isKnown_ || now - seenAt_ > age;
    return isOld ? std::max(burst_ - asked_, 0.0) : estimate(now);
}

bool ShareHint::isSuspect() const
{
    return timeouts_ > 0;
}

bool ShareHint::isSilent(TimePoint now) const
{
    return now < silentUntil_;
}

double ShareHint::rate() const
{
    return rate_;
}

double ShareHint::burst() const
{
    return burst_;
}

void ShareHint::onAsked(double amount)
{
    asked_ += amount;
}

void ShareHint::onReply(double asked, double balance, double reserved, TimePoint reservedUntil, TimePoint now)
{
    asked_ = std::max(asked_ - asked, 0.0);
    balance_ = balance;
    reserved_ = reserved;
    reservedUntil_ = reservedUntil;
    seenAt_ = now;
    isKnown_ = true;
    timeouts_ = 0;
    silentUntil_ = {};
}

void ShareHint::onReturned(double amount)
{
    balance_ += amount;
    reserved_ = std::max(reserved_ - amount, 0.0);
}

void ShareHint::onUnanswered(double asked)
{
    asked_ = std::max(asked_ - asked, 0.0);
}

void ShareHint::onTimeout(Duration pause, TimePoint now)
{
    silentUntil_ = now + pause * (1 << std::min(timeouts_, mostDoublings));
    ++timeouts_;
}

} // namespace Lovageloft
