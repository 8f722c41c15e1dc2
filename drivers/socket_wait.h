#pragma once

#include <cstdint>

#include "core/clock.h"

/// Waiting for the target and the caller of one request at the same time.
namespace Lovageloft
{

enum class WaitResult : std::uint8_t
{
    Readable, ///< The target's socket has data or was closed.
    TimedOut,
    CallerGone, ///< The caller closed its connection.
};

/// Waits until `targetSocket` can be read, the caller hangs up, or `timeout` has passed. Both are file descriptors;
/// a caller's that is negative is not watched. What goes wrong without watching the caller: it hangs up during a long
/// prefill, and the engine goes on working for nobody, which shows as load without answers.
WaitResult waitForTarget(int targetSocket, int callerSocket, Duration timeout);

/// Whether the other end has closed the connection. Bytes waiting to be read do not matter.
bool isHungUp(int socket);

} // namespace Lovageloft
