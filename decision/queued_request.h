#pragma once

#include <cstdint>

#include "core/clock.h"

/// Identifiers and metadata of a request that waits in a queue, without its body.
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

/// Priority chosen by the caller. Orders requests of one team only and has no effect on other teams.
enum class Priority : std::uint8_t
{
    High,
    Normal,
    Low,
};

constexpr std::size_t priorityCount = 3;

/// A request that waits for an engine. The ids of team, key and model come from IdTable.
struct QueuedRequest
{
    RequestId id{}; ///< Unique within the host.
    TeamId team{};
    KeyId key{};
    ModelId model{};
    Priority priority = Priority::Normal;
    std::int64_t cost = 1; ///< Estimated uncached prompt tokens plus output tokens; AdmissionQueue::offer clamps it to [1, 4,194,304].
    TimePoint deadline; ///< The request must be dispatched to an engine before this time.
    std::uint64_t fingerprint = 0; ///< Digest of key and body that identifies a retry; 0 if unknown.
    bool isRetry = false; ///< Whether the caller states that this or another host refused it before.
};

} // namespace Lovageloft
