#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/rollout_messages.h"
#include "coordination/serving_versions.h"
#include "decision/exposure_pool.h"
#include "decision/rollout_evidence.h"

namespace Lovageloft
{

/// An operator's order to move a service, as this host learned of it.
struct SeenRolloutOrder
{
    RolloutOrder order; ///< Its version is empty if the order can't be read.
    std::int64_t revision = 0; ///< Of the order in the store.
    std::optional<TimePoint> seenAt; ///< When the order was given at the latest; nothing if this host found it when it started.
};

/// What a host reports to the leader during the rollout of a service.
struct RolloutReport
{
    std::uint64_t id = 0; ///< Of this report, unique within the host's process.
    std::string service;
    RolloutProgress progress;
    ExposurePool::Usage usage;
    HostEvidence evidence;
};

/// The leader's answer to a RolloutReport.
struct RolloutReply
{
    std::string service;
    RolloutGrant grant;
    std::uint32_t allowance = 0; ///< Requests that the host may send to the ordered version, since it learned of the order.
    std::vector<std::uint64_t> excludedTargets; ///< Digests of the ordered version's targets that get no requests.
};

} // namespace Lovageloft
