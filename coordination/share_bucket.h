#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace Lovageloft
{

/// Amounts that differ by less count as equal: a burst divided by nine hosts and summed again differs from the total by rounding.
constexpr double tokenTolerance = 1e-6;

/// A token bucket that also supports reservations: tokens debited now and used within a bounded time, or never.
///
/// With a plain bucket, tokens debited from a full bucket could be used when the bucket has refilled. If that is a second later,
/// the burst plus the refill of that second pass at once: each remote debit would let a team exceed its burst.
/// Reserved tokens therefore keep occupying capacity: level + reserved never exceeds the burst. Whenever the tokens are used
/// within that time, the total is the same as if they had stayed in the bucket until then.
class ShareBucket
{
public:
    /// Creates an empty bucket that starts to refill at `start`.
    explicit ShareBucket(TimePoint start = {});

    /// Sets the refill rate in tokens per second and the capacity in tokens. Tokens above a reduced capacity are removed.
    void setLimits(double rate, double burst, TimePoint now);

    /// Tokens available at `now`; negative while a debt is being paid off.
    double level(TimePoint now);

    /// Tokens reserved that may still be used or released, as of the last call that took a time.
    double reserved() const;

    double rate() const;
    double burst() const;

    /// Removes tokens at once. Returns false and changes nothing if the level is too low.
    bool consume(double amount, TimePoint now);

    /// Reserves up to `amount` tokens, to be committed before `expiresAt` or released. Returns the tokens reserved, 0 or more.
    double reserve(double amount, TimePoint expiresAt, std::uint64_t id, TimePoint now);

    /// Marks reserved tokens as used, so that they no longer occupy capacity. Does nothing if the reservation has expired.
    void commit(std::uint64_t id, TimePoint now);

    /// Puts reserved tokens that will not be used back into the bucket. Returns their number, 0 if the reservation has expired.
    double release(std::uint64_t id, TimePoint now);

    /// Adds tokens that were charged and not used, up to the capacity. Returns the tokens added; the rest is lost.
    double refund(double amount, TimePoint now);

    /// Removes tokens that were used beyond the estimate; the level may become negative.
    void charge(double amount, TimePoint now);

    /// Skips the refill for the time from `from` to `now`.
    void skipRefill(TimePoint from, TimePoint now);

    /// Removes all tokens. Reservations and debts stay.
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
    std::deque<Reservation> reservations_; // Ascending by `expiresAt`.
};

} // namespace Lovageloft
