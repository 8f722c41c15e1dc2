#pragma once

#include <cmath>

#include "core/clock.h"

namespace Lovageloft
{

/// A sum over events with exponential decay, by which their recent rate is known.
class DecayingCount
{
public:
    /// Events older than about this time count little. Must be above zero.
    explicit DecayingCount(Duration decayTime)
        : decayTime_(decayTime)
    {
    }

    void add(TimePoint now, double amount = 1)
    {
        count_ = at(now) + amount;
        countedAt_ = now;
    }

    /// The sum per second; events per second if each adds 1.
    double rate(TimePoint now) const
    {
        return at(now) / toSeconds(decayTime_);
    }

private:
    double at(TimePoint now) const
    {
        return count_ * std::exp(-toSeconds(now - countedAt_) / toSeconds(decayTime_));
    }

    Duration decayTime_;
    double count_ = 0;
    TimePoint countedAt_;
};

} // namespace Lovageloft
