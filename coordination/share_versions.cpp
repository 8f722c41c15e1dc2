#include "coordination/share_versions.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Lovageloft
{

HomeShare TeamSplit::shareOf(std::string_view host) const
{
    const auto home = std::find_if(homes.begin(), homes.end(), [host](const HomeShare &share) { return share.host == host; });
    return home == homes.end() ? HomeShare{std::string(host), 0, 0} : *home;
}

ShareVersions::ShareVersions(Duration growDelay, Duration firstDelay)
    : growDelay_(growDelay)
    , firstDelay_(firstDelay)
{
}

bool ShareVersions::add(const ShareConfiguration &configuration, bool isInForce)
{
    const std::int64_t last = newest();
    if (!versions_.empty() && configuration.version <= last) {
        return true;
    }
    isSafe_ = isSafe_ || (versions_.empty() && isInForce);
    const bool isNext = versions_.empty() || configuration.version == last + 1;
    versions_.push_back(makeVersion(configuration));
    return isNext;
}

bool ShareVersions::isSafe() const
{
    return isSafe_;
}

void ShareVersions::onInForce(std::int64_t version, TimePoint now)
{
    const std::int64_t base = versions_.empty() ? 0 : versions_.front().number;
    if (version > base || (version == base && !isSafe_)) {
        growAt_.emplace(version, now + (isSafe_ ? growDelay_ : firstDelay_));
    }
}

bool ShareVersions::advance(TimePoint now)
{
    std::int64_t base = 0;
    while (!growAt_.empty() && growAt_.begin()->second <= now && growAt_.begin()->first <= newest()) {
        base = growAt_.begin()->first;
        growAt_.erase(growAt_.begin());
    }
    const std::size_t before = versions_.size();
    while (versions_.size() > 1 && versions_.front().number < base) {
        versions_.pop_front();
    }
    const bool wasSafe = std::exchange(isSafe_, isSafe_ || (base > 0 && base >= versions_.front().number));
    return versions_.size() != before || isSafe_ != wasSafe;
}

std::vector<std::string> ShareVersions::teams() const
{
    std::vector<std::string> names;
    if (versions_.empty()) {
        return names;
    }
    for (const auto &[name, part] : versions_.back().parts) {
        names.push_back(name);
    }
    return names;
}

std::optional<TeamSplit> ShareVersions::split(std::string_view team) const
{
    if (versions_.empty()) {
        return std::nullopt;
    }
    const auto part = versions_.back().parts.find(team);
    if (part == versions_.back().parts.end()) {
        return std::nullopt;
    }
    TeamSplit split{{}, part->second.rate, part->second.burst};
    for (const std::string &host : part->second.homes) {
        split.homes.push_back(leastShare(team, host));
    }
    return split;
}

std::int64_t ShareVersions::newest() const
{
    return versions_.empty() ? 0 : versions_.back().number;
}

ShareVersions::Version ShareVersions::makeVersion(const ShareConfiguration &configuration) const
{
    Version version{configuration.version, configuration.hosts, {}};
    const bool sameHosts = !versions_.empty() && versions_.back().hosts == configuration.hosts;
    for (const TeamShare &team : configuration.teams) {
        Part part{{}, team.rate, team.burst};
        // Ranking hundreds of hosts for each of hundreds of teams is spared when a ticket changed a rate only.
        const auto known = sameHosts ? versions_.back().parts.find(team.team) : std::map<std::string, Part>::const_iterator{};
        const bool isKnown = sameHosts && known != versions_.back().parts.end();
        part.homes = isKnown ? known->second.homes : homesOf(team.team, configuration.hosts);
        version.parts.emplace(team.team, std::move(part));
    }
    return version;
}

HomeShare ShareVersions::leastShare(std::string_view team, const std::string &host) const
{
    HomeShare least{host, std::numeric_limits<double>::max(), std::numeric_limits<double>::max()};
    for (const Version &version : versions_) {
        const auto part = version.parts.find(team);
        if (part == version.parts.end() || !std::binary_search(part->second.homes.begin(), part->second.homes.end(), host)) {
            return {host, 0, 0};
        }
        const auto homes = static_cast<double>(part->second.homes.size());
        least.rate = std::min(least.rate, part->second.rate / homes);
        least.burst = std::min(least.burst, part->second.burst / homes);
    }
    return least;
}

} // namespace Lovageloft
