#include "decision/reservation_book.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

// With a longer wait the caller misses its deadline anyway, and more reservations would only use memory.
constexpr Duration maxRetryAfter = std::chrono::minutes(10);

// Per team and lane. At 32 bytes each, 580 teams at this limit use less than 80 MB.
constexpr std::size_t maxReservations = 4096;

Duration ceilToSeconds(Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
    return std::max(seconds, std::chrono::seconds(1));
}

} // namespace

Duration ReservationBook::reserve(std::uint64_t fingerprint, std::int64_t cost, TimePoint earliest, Duration duration, TimePoint now)
{
    advance(now);
    const auto held = byFingerprint_.find(fingerprint);
    if (held != byFingerprint_.end() && held->second >= firstNotDue_) {
        return ceilToSeconds(reservations_[held->second - firstIndex_].due - now);
    }
    const Duration wait = ceilToSeconds(std::max(earliest, reservedUntil_) - now);
    if (wait > maxRetryAfter || reservations_.size() >= maxReservations) {
        return maxRetryAfter;
    }
    drop(fingerprint);
    reservedUntil_ = std::max(earliest, reservedUntil_) + duration;
    const TimePoint latest = reservations_.empty() ? now : reservations_.back().due;
    reservations_.push_back({.fingerprint = fingerprint, .cost = cost, .due = std::max(latest, now + wait)});
    if (fingerprint != 0) {
        byFingerprint_[fingerprint] = firstIndex_ + reservations_.size() - 1;
    }
    return ceilToSeconds(reservations_.back().due - now);
}

bool ReservationBook::redeem(std::uint64_t fingerprint, bool isRetry, TimePoint now)
{
    advance(now);
    const auto held = byFingerprint_.find(fingerprint);
    if (held != byFingerprint_.end()) {
        if (held->second >= firstNotDue_) {
            return false;
        }
        release(held->second);
        return true;
    }
    if (!isRetry) {
        return false;
    }
    for (std::uint64_t index = firstIndex_; index < firstNotDue_; ++index) {
        if (reservations_[index - firstIndex_].cost == 0) {
            continue;
        }
        release(index);
        return true;
    }
    return false;
}

void ReservationBook::drop(std::uint64_t fingerprint)
{
    const auto held = byFingerprint_.find(fingerprint);
    if (held != byFingerprint_.end()) {
        release(held->second);
    }
}

std::int64_t ReservationBook::tokensDue(TimePoint now)
{
    advance(now);
    return tokensDue_;
}

bool ReservationBook::isEmpty() const
{
    return reservations_.empty();
}

void ReservationBook::advance(TimePoint now)
{
    while (firstNotDue_ < firstIndex_ + reservations_.size() && reservations_[firstNotDue_ - firstIndex_].due <= now) {
        tokensDue_ += reservations_[firstNotDue_ - firstIndex_].cost;
        ++firstNotDue_;
    }
    while (!reservations_.empty() && reservations_.front().due + reservationGrace < now) {
        release(firstIndex_);
        reservations_.pop_front();
        ++firstIndex_;
    }
}

void ReservationBook::release(std::uint64_t index)
{
    Reservation &reservation = reservations_[index - firstIndex_];
    if (index < firstNotDue_) {
        tokensDue_ -= reservation.cost;
    }
    reservation.cost = 0;
    const auto held = byFingerprint_.find(reservation.fingerprint);
    if (held != byFingerprint_.end() && held->second == index) {
        byFingerprint_.erase(held);
    }
}

} // namespace Lovageloft
