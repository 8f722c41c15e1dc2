#pragma once

#include "core/clock.h"

namespace Lovageloft
{

/// Estimate of the tokens that another home holds for a team: the balance in its last reply, plus the refill since, minus the
/// tokens of pending debit requests. It only guides which home to ask; the home decides what it grants.
class ShareHint
{
public:
    /// Sets the share of the home: rate in tokens per second, burst in tokens.
    void setLimits(double rate, double burst);

    /// The expected balance in tokens: the burst less pending requests if the home has never replied, 0 while it is in backoff.
    double estimate(TimePoint now) const;

    /// The most tokens that the home can grant: the burst less pending requests if it has sent no reply within `maxAge`, otherwise the
    /// estimate; 0 while it is in backoff.
    double upperBound(TimePoint now, Duration maxAge) const;

    /// Whether the last debit request to the home timed out. Such a home is asked last, and during its backoff not at all.
    bool isSuspect() const;

    bool isInBackoff(TimePoint now) const;

    double rate() const;
    double burst() const;

    void onRequested(double amount);

    /// The home replied to a request for `requested` tokens. It has `balance` tokens left, and `reserved` tokens occupy capacity
    /// of its bucket until `reservedUntil` at the latest.
    void onReply(double requested, double balance, double reserved, TimePoint reservedUntil, TimePoint now);

    /// Tokens that the home granted are returned unused.
    void onReturned(double amount);

    /// The reply to a request is no longer awaited.
    void onRequestAbandoned(double requested);

    /// No reply came in time. The home is not asked for `initialBackoff`, and twice as long after each further timeout, up to
    /// 8 times `initialBackoff`. Otherwise a dead home would be estimated to be full and asked first, and each request would wait
    /// for its timeout.
    void onTimeout(Duration initialBackoff, TimePoint now);

private:
    double rate_ = 0;
    double burst_ = 0;
    double balance_ = 0;
    double requested_ = 0;
    double reserved_ = 0;
    TimePoint reservedUntil_;
    bool hasReply_ = false;
    int consecutiveTimeouts_ = 0;
    TimePoint observedAt_;
    TimePoint backoffUntil_;
};

} // namespace Lovageloft
