#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/clock.h"

namespace Lovageloft
{

/// The times at which refused requests of one team were told to come back, and the room kept for them.
///
/// Made for a team that asks for more than its part for a while. Without the book every refused caller is told the same
/// time, all return at once and most are refused again: their Retry-After was false. Here each gets its own time, spaced
/// by what the team's part drains, and room is kept for it until `reservationGrace` after.
class ReservationBook
{
public:
    /// Reserves for a request of `cost` tokens from `earliest` on, which lasts `duration` at the team's part.
    /// Returns how long the caller is to wait, in whole seconds as the HTTP field needs them. A fingerprint that
    /// holds a reservation already keeps it. Beyond the book's limits the answer is the horizon, and nothing is kept.
    Duration reserve(std::uint64_t fingerprint, std::int64_t cost, TimePoint earliest, Duration duration, TimePoint now);

    /// Uses up the reservation of a request that is due. A retry that holds none here was refused by another host, and
    /// uses the oldest one due: as many of this host's callers return elsewhere.
    bool redeem(std::uint64_t fingerprint, bool isRetry, TimePoint now);

    /// Drops a reservation that is no longer needed, due or not.
    void drop(std::uint64_t fingerprint);

    /// Tokens of reservations that are due, neither used nor lapsed.
    std::int64_t tokensDue(TimePoint now);

    bool isEmpty() const;

private:
    struct Reservation
    {
        std::uint64_t fingerprint = 0;
        std::int64_t cost = 0; ///< 0 once used or dropped.
        TimePoint due;
    };

    void advance(TimePoint now);
    void release(std::uint64_t index);

    std::deque<Reservation> reservations_; ///< In ascending order of due time.
    std::unordered_map<std::uint64_t, std::uint64_t> byFingerprint_; ///< Index counted from the first ever made.
    std::uint64_t firstIndex_ = 0; ///< Index of reservations_.front().
    std::uint64_t dueEnd_ = 0; ///< Index of the first one not yet due.
    std::int64_t tokensDue_ = 0;
    TimePoint reservedUntil_;
};

/// How long room is kept for a caller after its time: Retry-After is in whole seconds and clients add jitter of a second or two.
constexpr Duration reservationGrace = std::chrono::seconds(3);

} // namespace Lovageloft
