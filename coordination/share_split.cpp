#include "coordination/share_split.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "coordination/configuration.h"

namespace Lovageloft
{

ShareConfiguration makeShareConfiguration(std::int64_t version, const ConfigurationState &state)
{
    ShareConfiguration shares{version, {}, {}};
    for (const HostEntry &host : state.hosts()) {
        shares.hosts.push_back(host.name);
    }
    for (const auto &[name, team] : state.teams()) {
        shares.teams.push_back({name, team.rate, team.burst});
    }
    return shares;
}

std::vector<std::string> homesOf(std::string_view team, std::span<const std::string> hosts)
{
    std::vector<std::string> homes(hosts.begin(), hosts.end());
    if (homes.size() > maxHostsForAllHomes) {
        const std::uint64_t seed = XXH3_64bits(team.data(), team.size());
        std::vector<std::pair<std::uint64_t, std::string>> ranked;
        for (std::string &host : homes) {
            const std::uint64_t rank = XXH3_64bits_withSeed(host.data(), host.size(), seed);
            ranked.emplace_back(rank, std::move(host));
        }
        std::partial_sort(ranked.begin(), ranked.begin() + homesInLargeFleet, ranked.end(), std::greater<>());
        homes.clear();
        for (std::size_t i = 0; i < homesInLargeFleet; ++i) {
            homes.push_back(std::move(ranked[i].second));
        }
    }
    std::sort(homes.begin(), homes.end());
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    return homes;
}

} // namespace Lovageloft
