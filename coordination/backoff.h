#pragma once

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// Pauses between failed calls: they double up to a longest one and are drawn at random, so that hosts that lost a service together don't come
/// back together.
class Backoff
{
public:
    Backoff(Duration first, Duration longest, const Random &random);

    void setMaxDelay(Duration longest);

    /// The pause after one more failure.
    Duration nextDelay();

    void reset();

private:
    Random random_;
    Duration first_;
    Duration longest_;
    Duration pause_;
};

} // namespace Lovageloft
