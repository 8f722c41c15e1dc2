#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"

namespace Lovageloft
{

/// A host's progress in a rollout, as reported to the leader.
struct RolloutProgress
{
    std::int64_t order = 0; ///< Revision of the order that the host knows of.
    std::int64_t position = 0; ///< The newest one that the host has applied.
    std::optional<Duration> orderAge; ///< Since the host learned of the order; nothing if it found it when it started.
    std::uint32_t otherInFlight = 0; ///< Requests running or queued for targets of other versions than the ordered one.
};

/// The leader's answer to a report: until it runs out, the host may send requests to the ordered version.
struct RolloutGrant
{
    std::uint64_t reportId = 0; ///< Of the report that it answers.
    std::int64_t order = 0;
    std::int64_t position = 0;
    Duration validFor{}; ///< From when the report was sent; zero for no requests.
};

} // namespace Lovageloft
