#pragma once

#include <cstddef>

#include "core/clock.h"

/// Sizes and times in the handling of one request, see RoutedRequest.
namespace Lovageloft
{

/// Maximum targets tried for one request, including unreachable ones and those that decline it without running it.
inline constexpr int maxSends = 4;

/// Interval between checks whether another target can take a stalled request.
inline constexpr Duration stallCheckInterval = std::chrono::milliseconds(100);

/// Interval between checks of the link to a target that has not responded.
inline constexpr Duration linkCheckInterval = std::chrono::milliseconds(200);

/// Time left to the deadline below which no target is tried: the response would come after the caller has given up.
inline constexpr Duration minTimeForAttempt = std::chrono::milliseconds(60);

/// Retry-After of refusals without a more specific time: most causes are gone, or the load has moved to another host, by then.
inline constexpr Duration defaultRetryAfter = std::chrono::milliseconds(300);

/// Retry-After of a request that this host no longer takes, as it shuts down: any other host does.
inline constexpr Duration drainRetryAfter = std::chrono::milliseconds(50);

/// Retry-After of a stream whose version has no target: about the time that a target takes to restart.
inline constexpr Duration noVersionRetryAfter = std::chrono::seconds(1);

/// A target that has written a stream for this time does not crash on the request.
inline constexpr Duration soundWritingTime = std::chrono::seconds(1);

/// Retry-After of a quarantined request, which is not sent to any target for minutes.
inline constexpr Duration quarantineRetryAfter = std::chrono::seconds(30);

/// How long a non-idempotent call may still run at a target after its caller got a final response or disconnected. Targets stop at the
/// deadline sent with the request; one that takes longer is stuck, and its connection is closed to free it.
inline constexpr Duration orphanTimeout = std::chrono::seconds(10);

/// How long a request whose caller has left stays at a target that tolerates few rejections, so that its rejection is heard, and how often it is
/// looked whether it may still come. Within half a second of the caller's leaving the target has to be free of the request.
inline constexpr Duration maxUnreadTime = std::chrono::milliseconds(400);
inline constexpr Duration unreadCheckInterval = std::chrono::milliseconds(50);

/// Bytes of the heads of a request and its response together, and of an event that carries one token, to estimate the traffic between data centres.
inline constexpr std::size_t headBytes = 1'000;
inline constexpr std::size_t bytesPerToken = 55;

/// A request's body up to this size is sent in one piece with its head, which saves a system call; a longer one without a copy.
inline constexpr std::size_t maxCopiedBody = 16'384;

inline constexpr int successStatus = 200;

/// Statuses from this one on are failures of the target.
inline constexpr int firstErrorStatus = 500;

} // namespace Lovageloft
