#pragma once

#include <chrono>

#include "coordination/share_ledger.h"

namespace Lovageloft
{

/// What the tests of shares go by: longer than the defaults, so that seconds of virtual time hold many messages.
inline constexpr Duration debitLifetime = std::chrono::seconds(1);
inline constexpr Duration freshnessWindow = std::chrono::milliseconds(1500);

inline TimePoint at(Duration time)
{
    return TimePoint(time);
}

inline ShareOptions testOptions()
{
    ShareOptions options;
    options.growDelay = freshnessWindow;
    options.debitLifetime = debitLifetime;
    options.gatherTimeout = debitLifetime;
    return options;
}

} // namespace Lovageloft
