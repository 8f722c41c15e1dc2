#pragma once

#include <chrono>

#include "coordination/share_ledger.h"

namespace Lovageloft
{

/// Times for the tests of shares. They are longer than the defaults, so that many messages are exchanged within them in virtual time.
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
