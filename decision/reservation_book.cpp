#include "decision/reservation_book.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

// A caller that is sent away for longer has lost its deadline anyway, and a longer list only holds memory.
constexpr Duration horizon = std::chrono::minutes(10);

// Per team and lane; 32 bytes each, so that 580 teams that all overflow stay under 80 MB.
constexpr std::size_t mostReservations = 4096;

Duration wholeSeconds(Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
    return std::max(seconds, std::chrono::seconds(1));
}

} // namespace

Duration ReservationBook::reserve(std::uint64_t fingerprint, std::int64_t cost, TimePoint earliest, Duration duration, TimePoint now)
{
    advance(now);
    const auto held = byFingerprint_.find(fingerprint);
    if (held != byFingerprint_.end() && held->second >= dueEnd_) {
        return wholeSeconds(reservations_[held->second - firstIndex_].due - now);
    }
    const Duration wait = wholeSeconds(std::max(earliest, reservedUntil_) - now);
    if (wait > horizon || reservations_.size() >= mostReservations) {
        return horizon;
    }
    drop(fingerprint);
    reservedUntil_ = std::max(earliest, reservedUntil_) + duration;
    const TimePoint latest = reservations_.empty() ? now : reservations_.back().due;
    reservations_.push_back({.fingerprint = fingerprint, .cost = cost, .due = std::max(latest, now + wait)});
    if (fingerprint != 0) {
        byFingerprint_[fingerprint] = firstIndex_ + reservations_.size() - 1;
    }
    return wholeSeconds(reservations_.back().due - now);
}

bool ReservationBook::redeem(std::uint64_t fingerprint, bool isRetry, TimePoint now)
{
    advance(now);
    const auto held = byFingerprint_.find(fingerprint);
    if (held != byFingerprint_.end()) {
        if (held->second >= dueEnd_) {
            return false;
        }
        release(held->second);
        return true;
    }
    if (!isRetry) {
        return false;
    }
    for (std::uint64_t index = firstIndex_; index < dueEnd_; ++index) {
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
    while (dueEnd_ < firstIndex_ + reservations_.size() && reservations_[dueEnd_ - firstIndex_].due <= now) {
        tokensDue_ += reservations_[dueEnd_ - firstIndex_].cost;
        ++dueEnd_;
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
    if (index < dueEnd_) {
        tokensDue_ -= reservation.cost;
    }
    reservation.cost = 0;
    const auto held = byFingerprint_.find(reservation.fingerprint);
    if (held != byFingerprint_.end() && held->second == index) {
        byFingerprint_.erase(held);
    }
}

} // namespace Lovageloft
