#pragma once

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// Exponential backoff with jitter after failed calls: delays double up to a maximum and are randomized, so that hosts that lost a service at
/// the same time don't retry at the same time.
class Backoff
{
public:
    Backoff(Duration initialDelay, Duration maxDelay, const Random &random);

    void setMaxDelay(Duration maxDelay);

    /// Returns the delay after one more failure: at random between half of the current delay and all of it.
    Duration nextDelay();

    /// Starts again with the initial delay; to be called after a success.
    void reset();

private:
    Random random_;
    Duration initialDelay_;
    Duration maxDelay_;
    Duration delay_;
};

} // namespace Lovageloft
