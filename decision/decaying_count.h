#pragma once

#include <cmath>

#include "core/clock.h"

namespace Lovageloft
{

/// A count of events with exponential decay, by which their recent rate is known.
class DecayingCount
{
public:
    /// Events older than about this time count little. Must be above zero.
    explicit DecayingCount(Duration decayTime)
        : decayTime_(decayTime)
    {
    }

    void add(TimePoint now)
    {
        count_ = at(now) + 1;
        countedAt_ = now;
    }

    /// Events a second.
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
