#pragma once

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// Pauses between failed calls to the store: they double and are drawn at random, so that hosts that lost the store together
/// don't come back together.
class StoreBackoff
{
public:
    StoreBackoff();

    /// The pause after one more failure.
    Duration next();

    void reset();

private:
    Random random_;
    Duration pause_;
};

} // namespace Lovageloft
