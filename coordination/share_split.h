#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

class ConfigurationState;

/// What a team may spend over the whole fleet.
struct TeamLimits
{
    std::string team;
    double rate = 0; ///< Tokens a second.
    double burst = 0; ///< Tokens.
};

/// One version of what the shares are worked out from.
struct ShareConfiguration
{
    std::int64_t version = 0; ///< Sequence number of the log entry; each host takes them one by one.
    std::vector<std::string> hosts;
    std::vector<TeamLimits> teams;
};

/// The part of a configuration state that the shares need.
ShareConfiguration makeShareConfiguration(std::int64_t version, const ConfigurationState &state);

/// Up to this many hosts each of them is a home of every team: a request then mostly finds its share where it arrives.
constexpr std::size_t maxHostsAllHomes = 12;

/// Homes of a team in a larger fleet. Fewer would make the loss of one home cost a team much of its rate; more would
/// cut its burst into pieces that most requests have to be gathered from.
constexpr std::size_t homesInLargeFleet = 8;

/// The hosts over which a team's rate and burst are split in equal parts, ascending by name: all of them in a small
/// fleet, otherwise the highest by rendezvous hash, which a host that joins or leaves changes by one home at most.
std::vector<std::string> homesOf(std::string_view team, std::span<const std::string> hosts);

} // namespace Lovageloft
