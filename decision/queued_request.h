#pragma once

#include <cstdint>

#include "core/clock.h"

/// What the queue keeps of a request: ids and small figures, never the body.
namespace Lovageloft
{

enum class RequestId : std::uint64_t
{
};

enum class TeamId : std::uint32_t
{
};

enum class KeyId : std::uint32_t
{
};

enum class ModelId : std::uint32_t
{
};

/// The caller's wish for the order within its own team. It has no effect on other teams.
enum class Priority : std::uint8_t
{
    High,
    Normal,
    Low,
};

constexpr std::size_t priorityCount = 3;

/// A request that waits for an engine. IdTable gives out the ids.
struct QueuedRequest
{
    RequestId id{}; ///< Unique within the host.
    TeamId team{};
    KeyId key{};
    ModelId model{};
    Priority priority = Priority::Normal;
    std::int64_t cost = 1; ///< Tokens: the estimate of prompt tokens not cached plus output; clamped to [1, 4,194,304].
    TimePoint deadline; ///< The request must be handed to an engine before this.
    std::uint64_t fingerprint = 0; ///< Digest of key and body, by which a retry is known; 0: not known.
    bool isRetry = false; ///< Whether the caller says that it was refused before, by this or another host.
};

} // namespace Lovageloft
