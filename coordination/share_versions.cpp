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

ShareVersions::ShareVersions(Duration growDelay, Duration initialGrowDelay)
    : growDelay_(growDelay)
    , initialGrowDelay_(initialGrowDelay)
{
}

bool ShareVersions::add(const ShareConfiguration &configuration, bool isInForce)
{
    const std::int64_t last = newest();
    if (!versions_.empty() && configuration.version <= last) {
        return true;
    }
    hasVersionInForce_ = hasVersionInForce_ || (versions_.empty() && isInForce);
    const bool isConsecutive = versions_.empty() || configuration.version == last + 1;
    versions_.push_back(makeVersion(configuration));
    return isConsecutive;
}

bool ShareVersions::hasVersionInForce() const
{
    return hasVersionInForce_;
}

void ShareVersions::onInForce(std::int64_t version, TimePoint now)
{
    const std::int64_t base = versions_.empty() ? 0 : versions_.front().number;
    if (version > base || (version == base && !hasVersionInForce_)) {
        effectiveAt_.emplace(version, now + (hasVersionInForce_ ? growDelay_ : initialGrowDelay_));
    }
}

bool ShareVersions::advance(TimePoint now)
{
    std::int64_t base = 0;
    while (!effectiveAt_.empty() && effectiveAt_.begin()->second <= now && effectiveAt_.begin()->first <= newest()) {
        base = effectiveAt_.begin()->first;
        effectiveAt_.erase(effectiveAt_.begin());
    }
    const std::size_t before = versions_.size();
    while (versions_.size() > 1 && versions_.front().number < base) {
        versions_.pop_front();
    }
    const bool hadVersionInForce = std::exchange(hasVersionInForce_, hasVersionInForce_ || (base > 0 && base >= versions_.front().number));
    return versions_.size() != before || hasVersionInForce_ != hadVersionInForce;
}

std::vector<std::string> ShareVersions::teams() const
{
    std::vector<std::string> names;
    if (versions_.empty()) {
        return names;
    }
    for (const auto &[name, entry] : versions_.back().teams) {
        names.push_back(name);
    }
    return names;
}

std::optional<TeamSplit> ShareVersions::split(std::string_view team) const
{
    if (versions_.empty()) {
        return std::nullopt;
    }
    const auto entry = versions_.back().teams.find(team);
    if (entry == versions_.back().teams.end()) {
        return std::nullopt;
    }
    TeamSplit split{{}, entry->second.rate, entry->second.burst};
    for (const std::string &host : entry->second.homes) {
        split.homes.push_back(minShare(team, host));
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
    const bool hasSameHosts = !versions_.empty() && versions_.back().hosts == configuration.hosts;
    for (const TeamLimits &team : configuration.teams) {
        TeamEntry entry{{}, team.rate, team.burst};
        // A ticket that only changes a rate must not rank hundreds of hosts for each of hundreds of teams again.
        const auto previous = hasSameHosts ? versions_.back().teams.find(team.team) : std::map<std::string, TeamEntry>::const_iterator{};
        const bool isReusable = hasSameHosts && previous != versions_.back().teams.end();
        entry.homes = isReusable ? previous->second.homes : homesOf(team.team, configuration.hosts);
        version.teams.emplace(team.team, std::move(entry));
    }
    return version;
}

HomeShare ShareVersions::minShare(std::string_view team, const std::string &host) const
{
    HomeShare minimum{host, std::numeric_limits<double>::max(), std::numeric_limits<double>::max()};
    for (const Version &version : versions_) {
        const auto entry = version.teams.find(team);
        if (entry == version.teams.end() || !std::binary_search(entry->second.homes.begin(), entry->second.homes.end(), host)) {
            return {host, 0, 0};
        }
        const auto homes = static_cast<double>(entry->second.homes.size());
        minimum.rate = std::min(minimum.rate, entry->second.rate / homes);
        minimum.burst = std::min(minimum.burst, entry->second.burst / homes);
    }
    return minimum;
}

} // namespace Lovageloft
