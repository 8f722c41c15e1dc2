#pragma once

#include <cstdint>

#include "core/clock.h"

/// Waiting for the target and the caller of a request at the same time.
namespace Lovageloft
{

enum class WaitResult : std::uint8_t
{
    Readable, ///< The target's socket has data or was closed.
    TimedOut,
    CallerGone, ///< The caller closed its connection.
};

/// Waits until `targetSocket` is readable, the caller disconnects, or `timeout` has passed. Both sockets are file descriptors; a negative
/// `callerSocket` is not watched. Without watching the caller, an engine would continue to compute for callers that disconnected during a long
/// prefill.
WaitResult waitForTarget(int targetSocket, int callerSocket, Duration timeout);

/// Whether the peer has closed the connection, even if there are unread bytes.
bool isClosedByPeer(int socket);

} // namespace Lovageloft
