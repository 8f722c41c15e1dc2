#pragma once

#include "core/clock.h"

namespace Lovageloft
{

/// What a host believes another home to hold of a team's tokens: the balance in its last reply, refilled since, less
/// what is being asked for. Only a guide to whom to ask; the home alone decides.
class ShareHint
{
public:
    /// The home's part in tokens a second and tokens.
    void setLimits(double rate, double burst);

    /// The balance expected; the whole burst if nothing was ever heard, 0 while the home counts as silent.
    double estimate(TimePoint now) const;

    /// The most that the home can hold: its burst where the last news is older than `maxAge`, otherwise the estimate.
    double upperBound(TimePoint now, Duration maxAge) const;

    /// Whether the home left the last question unanswered. It is then asked last, and not at all for a while.
    bool isSuspect() const;
    bool isInBackoff(TimePoint now) const;

    double rate() const;
    double burst() const;

    void onRequested(double amount);

    /// The home has `balance` left, and `reserved` tokens take room in its bucket until `reservedUntil` at the latest.
    void onReply(double requested, double balance, double reserved, TimePoint reservedUntil, TimePoint now);

    void onReturned(double amount);

    /// The question is no longer waited for.
    void onRequestAbandoned(double requested);

    /// No answer came in time. The home is left alone for `initialBackoff`, and twice as long each time up to 8 times.
    /// What goes wrong otherwise: a dead home is believed to be full, is asked first, and each request waits in vain.
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
