#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace Lovageloft
{

/// Amounts that differ by less count as equal: a burst split over nine hosts and summed again misses the whole by rounding.
constexpr double tokenTolerance = 1e-6;

/// A token bucket whose tokens can also be reserved: debited now and used within a bounded time, or never.
///
/// What goes wrong with a plain bucket: tokens debited from a full bucket are used up to a second later, by which time
/// the bucket has filled again, and a burst and a second's refill pass at once. One would notice a team over its burst
/// after each remote debit. Reserved tokens therefore go on taking room: level + reserved never exceeds the burst, so
/// that whenever the use falls within that time the sum is the same as if the tokens had lain in the bucket until then.
class ShareBucket
{
public:
    /// An empty bucket that begins to refill at `start`.
    explicit ShareBucket(TimePoint start = {});

    /// Sets the refill in tokens a second and the size in tokens. A smaller size takes the tokens above it away.
    void setLimits(double rate, double burst, TimePoint now);

    /// Tokens that can be spent at `now`; negative while a debt is paid off.
    double level(TimePoint now);

    /// Tokens debited that may still be used or returned; as of the last call with a time.
    double reserved() const;

    double rate() const;
    double burst() const;

    /// Spends at once. False and nothing done if the level is too low.
    bool consume(double amount, TimePoint now);

    /// Debits up to `amount`, to be used before `expiresAt` or returned; returns what was debited, at least 0.
    double reserve(double amount, TimePoint expiresAt, std::uint64_t id, TimePoint now);

    /// The reserved tokens were used: they no longer take room. Nothing happens for an id that is not reserved any more.
    void commit(std::uint64_t id, TimePoint now);

    /// Puts reserved tokens back that will never be used; returns how many, 0 once their time has passed.
    double release(std::uint64_t id, TimePoint now);

    /// Returns tokens charged for more than was used, up to the size; the rest is lost.
    double refund(double amount, TimePoint now);

    /// Charges what was used beyond the estimate; the level may become negative.
    void charge(double amount, TimePoint now);

    /// Gives no refill for the time from `from` to `now`.
    void skipRefill(TimePoint from, TimePoint now);

    /// Takes all tokens away. What is reserved stays so.
    void clear(TimePoint now);

private:
    struct Reservation
    {
        std::uint64_t id = 0;
        double amount = 0;
        TimePoint expiresAt;
    };

    void refill(TimePoint now);
    void refillTo(TimePoint time);
    void capLevel();
    double removeReservation(std::uint64_t id);

    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    double reserved_ = 0;
    TimePoint refilledAt_;
    std::deque<Reservation> reservations_; // In the order of `expiresAt`.
};

} // namespace Lovageloft
