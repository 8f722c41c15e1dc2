#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Lovageloft
{

/// Priority classes 0 (highest) to 2.
inline constexpr std::size_t priorityClassCount = 3;

inline constexpr std::size_t maxTeamsPerDigest = 8;

/// What a team has requested of a service at one host.
struct TeamDemand
{
    std::uint64_t team = 0;
    std::array<float, priorityClassCount> offeredSeconds{}; ///< Engine time requested per second, admitted or not, by priority class.
};

/// The demand for one service at one host.
struct ServiceDemand
{
    std::uint64_t service = 0;
    std::array<float, priorityClassCount> queuedSeconds{}; ///< Engine time of queued requests, by priority class.
    std::array<float, priorityClassCount> offeredSeconds{}; ///< Of all teams, as in TeamDemand.
    float oldestSeconds = 0; ///< Age of the request that has been queued longest.
    std::vector<TeamDemand> teams; ///< In cyclic order of their ids. Teams in between and, if there are fewer than 8, all others have offered nothing.
};

/// The demand at one host, as sent to all hosts. A host numbers its digests in ascending order, also across restarts (by its boot clock).
struct DemandDigest
{
    std::uint64_t sequence = 0;
    std::vector<ServiceDemand> services;
};

} // namespace Lovageloft
