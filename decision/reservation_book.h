#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/clock.h"

namespace Lovageloft
{

/// Reservations for the retries of refused requests of one team and lane: when each was told to retry, and the capacity kept for it.
///
/// Designed for a team that exceeds its share for some time. If all refused callers got the same Retry-After, they would retry at
/// the same time and most would be refused again. Here each caller gets its own time, spaced at the rate at which the team's share
/// drains, and capacity is kept for it until `reservationGrace` after that time.
class ReservationBook
{
public:
    /// Reserves capacity for a request of `cost` tokens, not before `earliest` and not before the reservations made earlier. `duration`
    /// is the time that the team's share takes to serve it. Returns the time until the caller should retry, in whole seconds as
    /// required by the Retry-After header. A fingerprint whose reservation is not due yet keeps it; 0 identifies no request. If the
    /// book holds 4,096 reservations or the wait would exceed 10 minutes, returns 10 minutes without a reservation.
    Duration reserve(std::uint64_t fingerprint, std::int64_t cost, TimePoint earliest, Duration duration, TimePoint now);

    /// Consumes the reservation of a request; false if it has none or it is not due. A retry without a reservation is assumed to have
    /// been refused by another host and consumes the oldest due one, since about as many callers refused by this host retry at others.
    bool redeem(std::uint64_t fingerprint, bool isRetry, TimePoint now);

    /// Removes a reservation that is no longer needed, whether it is due or not.
    void drop(std::uint64_t fingerprint);

    /// Tokens of reservations that are due and neither consumed nor expired.
    std::int64_t tokensDue(TimePoint now);

    bool isEmpty() const;

private:
    struct Reservation
    {
        std::uint64_t fingerprint = 0;
        std::int64_t cost = 0; ///< In tokens; 0 once consumed or dropped.
        TimePoint due;
    };

    void advance(TimePoint now);
    void release(std::uint64_t index);

    std::deque<Reservation> reservations_; ///< In ascending order of due time.
    std::unordered_map<std::uint64_t, std::uint64_t> byFingerprint_; ///< Indexes count from the first reservation ever made.
    std::uint64_t firstIndex_ = 0; ///< Index of reservations_.front().
    std::uint64_t firstNotDue_ = 0; ///< Index of the first reservation that is not yet due.
    std::int64_t tokensDue_ = 0;
    TimePoint reservedUntil_; ///< End of the last reservation's duration.
};

/// How long capacity is kept for a caller after its time: Retry-After is in whole seconds, and clients add jitter of a second or two.
constexpr Duration reservationGrace = std::chrono::seconds(3);

} // namespace Lovageloft
