#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

class ConfigurationState;

/// Rate and burst of a team over the whole fleet.
struct TeamLimits
{
    std::string team;
    double rate = 0; ///< Tokens per second.
    double burst = 0; ///< Tokens.
};

/// One version of the configuration from which the shares are computed.
struct ShareConfiguration
{
    std::int64_t version = 0; ///< Sequence number of the configuration log entry; each host applies the entries in order.
    std::vector<std::string> hosts;
    std::vector<TeamLimits> teams;
};

/// Extracts from a configuration state what the shares depend on.
ShareConfiguration makeShareConfiguration(std::int64_t version, const ConfigurationState &state);

/// Up to this many hosts, each host is a home of every team, so that most requests find enough tokens on the host where they arrive.
constexpr std::size_t maxHostsForAllHomes = 12;

/// Homes of each team in a larger fleet. With fewer homes the loss of one would cost a team much of its rate; with more its
/// burst would be split so finely that most requests would have to collect tokens from several homes.
constexpr std::size_t homesInLargeFleet = 8;

/// The hosts among which a team's rate and burst are split equally, ascending by name: all hosts in a small fleet, otherwise
/// the highest ranked by rendezvous hashing, so that a host that joins or leaves a large fleet changes at most one home. When the
/// number of hosts crosses maxHostsForAllHomes, the homes of most teams change.
std::vector<std::string> homesOf(std::string_view team, std::span<const std::string> hosts);

} // namespace Lovageloft
