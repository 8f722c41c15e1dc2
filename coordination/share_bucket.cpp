#include "coordination/share_bucket.h"

#include <algorithm>

namespace Lovageloft
{

ShareBucket::ShareBucket(TimePoint start)
    : refilledAt_(start)
{
}

void ShareBucket::setLimits(double rate, double burst, TimePoint now)
{
    refill(now);
    rate_ = rate;
    burst_ = burst;
    capLevel();
}

double ShareBucket::level(TimePoint now)
{
    refill(now);
    return level_;
}

double ShareBucket::reserved() const
{
    return reserved_;
}

double ShareBucket::rate() const
{
    return rate_;
}

double ShareBucket::burst() const
{
    return burst_;
}

bool ShareBucket::consume(double amount, TimePoint now)
{
    refill(now);
    if (level_ + tokenTolerance < amount) {
        return false;
    }
    level_ -= amount;
    return true;
}

double ShareBucket::reserve(double amount, TimePoint expiresAt, std::uint64_t id, TimePoint now)
{
    refill(now);
    const double granted = std::clamp(amount, 0.0, std::max(level_, 0.0));
    if (granted <= 0) {
        return 0;
    }
    level_ -= granted;
    reserved_ += granted;
    const auto later =
        std::find_if(reservations_.rbegin(), reservations_.rend(), [expiresAt](const Reservation &other) { return other.expiresAt <= expiresAt; });
    reservations_.insert(later.base(), {id, granted, expiresAt});
    return granted;
}

void ShareBucket::commit(std::uint64_t id, TimePoint now)
{
    refill(now);
    removeReservation(id);
}

double ShareBucket::release(std::uint64_t id, TimePoint now)
{
    refill(now);
    const double amount = removeReservation(id);
    level_ += amount;
    return amount;
}

double ShareBucket::refund(double amount, TimePoint now)
{
    refill(now);
    const double before = level_;
    level_ += std::max(amount, 0.0);
    capLevel();
    return std::max(level_ - before, 0.0);
}

void ShareBucket::charge(double amount, TimePoint now)
{
    refill(now);
    level_ -= std::max(amount, 0.0);
}

void ShareBucket::skipRefill(TimePoint from, TimePoint now)
{
    refill(std::min(from, now));
    refilledAt_ = std::max(refilledAt_, now);
}

void ShareBucket::clear(TimePoint now)
{
    refill(now);
    level_ = std::min(level_, 0.0);
}

void ShareBucket::refill(TimePoint now)
{
    // Each reservation occupies capacity until it expires, even if the host was suspended long past that time.
    while (!reservations_.empty() && reservations_.front().expiresAt <= now) {
        refillTo(reservations_.front().expiresAt);
        reserved_ -= reservations_.front().amount;
        reservations_.pop_front();
    }
    if (reservations_.empty()) {
        reserved_ = 0;
    }
    refillTo(now);
}

void ShareBucket::refillTo(TimePoint time)
{
    if (time <= refilledAt_) {
        return;
    }
    level_ += rate_ * toSeconds(time - refilledAt_);
    refilledAt_ = time;
    capLevel();
}

void ShareBucket::capLevel()
{
    // The cap keeps a negative level: a debt is not cancelled. burst - reserved is negative while reservations exceed a reduced
    // capacity, which must not create a debt.
    const double room = std::max(burst_ - reserved_, 0.0);
    level_ = std::min(level_, room);
}

double ShareBucket::removeReservation(std::uint64_t id)
{
    const auto found = std::find_if(reservations_.begin(), reservations_.end(), [id](const Reservation &other) { return other.id == id; });
    if (found == reservations_.end()) {
        return 0;
    }
    const double amount = found->amount;
    reserved_ -= amount;
    reservations_.erase(found);
    return amount;
}

} // namespace Lovageloft
