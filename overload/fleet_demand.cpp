#include "overload/fleet_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "overload/digest_schedule.h"

namespace Lovageloft
{

namespace
{

constexpr int validIntervals = 3;
constexpr int teamValidIntervals = 6; ///< Teams that take turns are named by every second digest or less.
constexpr Duration dropInterval = std::chrono::milliseconds(50);
constexpr double microsPerSecond = 1e6;
constexpr float maxSeconds = 1e9F; ///< Sums of larger figures could overflow.

using ClassFloats = std::array<float, priorityClassCount>;
using ClassMicros = FleetDemand::ClassMicros;

bool isPossible(const ClassFloats &figures)
{
    return std::all_of(figures.begin(), figures.end(), [](float figure) { return figure >= 0 && figure <= maxSeconds; });
}

bool isPossible(const ServiceDemand &demand)
{
    return demand.teams.size() <= maxTeamsPerDigest && isPossible(demand.queuedSeconds) && isPossible(demand.offeredSeconds)
        && std::all_of(demand.teams.begin(), demand.teams.end(), [](const TeamDemand &team) { return isPossible(team.offeredSeconds); });
}

ClassMicros toMicros(const ClassFloats &seconds)
{
    ClassMicros micros{};
    std::transform(seconds.begin(), seconds.end(), micros.begin(), [](float figure) { return std::llround(static_cast<double>(figure) * microsPerSecond); });
    return micros;
}

/// Replaces `stored` by `value` and corrects the sum that contains it.
void change(ClassMicros &sum, ClassMicros &stored, const ClassMicros &value)
{
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        sum[i] += value[i] - stored[i];
    }
    stored = value;
}

/// Whether the digest would name the team if it had offered anything.
bool isCovered(std::uint64_t team, const ServiceDemand &demand)
{
    if (demand.teams.size() != maxTeamsPerDigest) {
        return true;
    }
    const std::uint64_t first = demand.teams.front().team;
    const std::uint64_t last = demand.teams.back().team;
    return first <= last ? first <= team && team <= last : team >= first || team <= last;
}

} // namespace

FleetDemand::FleetDemand(std::string host)
    : self_(std::move(host))
{
    setHosts(1);
}

void FleetDemand::setHosts(std::size_t hosts)
{
    hostCount_ = std::max<std::size_t>(hosts, 1);
    validity_ = validIntervals * digestInterval(hostCount_);
    teamValidity_ = teamValidIntervals * digestInterval(hostCount_);
}

bool FleetDemand::merge(std::string_view host, const DemandDigest &digest, TimePoint now)
{
    const bool isValid =
        host != self_ && std::all_of(digest.services.begin(), digest.services.end(), [](const ServiceDemand &demand) { return isPossible(demand); });
    if (!isValid) {
        return false;
    }
    Host &merged = hosts_.try_emplace(std::string(host)).first->second;
    if (digest.sequence <= merged.sequence) {
        return false;
    }
    replace(merged, digest, now);
    return true;
}

void FleetDemand::mergeOwn(const DemandDigest &snapshot, TimePoint now)
{
    replace(hosts_[self_], snapshot, now);
}

template <typename Predicate>
void FleetDemand::dropTeams(HostService &service, std::uint64_t id, Predicate isToBeDropped)
{
    for (auto team = service.teams.begin(); team != service.teams.end();) {
        if (!isToBeDropped(team->first, team->second)) {
            ++team;
            continue;
        }
        setTeam(totals_[id], team->first, team->second.offeredMicros, {});
        team = service.teams.erase(team);
    }
}

void FleetDemand::replace(Host &host, const DemandDigest &digest, TimePoint now)
{
    dropSums(host);
    for (auto &[id, service] : host.services) {
        const bool isNamed =
            std::any_of(digest.services.begin(), digest.services.end(), [id = id](const ServiceDemand &demand) { return demand.service == id; });
        dropTeams(service, id, [isNamed](std::uint64_t, const NamedTeam &) { return !isNamed; });
    }
    for (const ServiceDemand &demand : digest.services) {
        HostService &service = host.services[demand.service];
        Totals &totals = totals_[demand.service];
        change(totals.queuedMicros, service.queuedMicros, toMicros(demand.queuedSeconds));
        change(totals.offeredMicros, service.offeredMicros, toMicros(demand.offeredSeconds));
        for (const TeamDemand &team : demand.teams) {
            NamedTeam &named = service.teams[team.team];
            setTeam(totals, team.team, named.offeredMicros, toMicros(team.offeredSeconds));
            named.namedAt = now;
            named.sequence = digest.sequence;
        }
        dropTeams(service, demand.service, [&demand, &digest](std::uint64_t id, const NamedTeam &team) {
            return team.sequence != digest.sequence && isCovered(id, demand);
        });
    }
    host.sequence = digest.sequence;
    host.mergedAt = now;
}

void FleetDemand::setTeam(Totals &totals, std::uint64_t team, ClassMicros &stored, const ClassMicros &offered)
{
    ClassMicros &sum = totals.teams[team];
    change(sum, stored, offered);
    if (sum == ClassMicros{}) {
        totals.teams.erase(team);
    }
}

void FleetDemand::dropExpired(TimePoint now)
{
    if (now - droppedAt_ < dropInterval) {
        return;
    }
    droppedAt_ = now;
    for (auto host = hosts_.begin(); host != hosts_.end();) {
        const bool isExpired = now - host->second.mergedAt > validity_;
        dropTeams(host->second, isExpired ? TimePoint::max() : now - teamValidity_);
        if (isExpired) {
            dropSums(host->second);
        }
        host = isExpired ? hosts_.erase(host) : std::next(host);
    }
    std::erase_if(totals_, [](const auto &entry) {
        const Totals &totals = entry.second;
        return totals.teams.empty() && totals.queuedMicros == ClassMicros{} && totals.offeredMicros == ClassMicros{};
    });
}

void FleetDemand::dropTeams(Host &host, TimePoint since)
{
    for (auto &[id, service] : host.services) {
        dropTeams(service, id, [since](std::uint64_t, const NamedTeam &team) { return team.namedAt < since; });
    }
    std::erase_if(host.services, [](const auto &entry) {
        const HostService &service = entry.second;
        return service.teams.empty() && service.queuedMicros == ClassMicros{} && service.offeredMicros == ClassMicros{};
    });
}

void FleetDemand::dropSums(Host &host)
{
    for (auto &[id, service] : host.services) {
        Totals &totals = totals_[id];
        change(totals.queuedMicros, service.queuedMicros, {});
        change(totals.offeredMicros, service.offeredMicros, {});
    }
}

const FleetDemand::Totals *FleetDemand::totals(std::uint64_t service) const
{
    const auto found = totals_.find(service);
    return found == totals_.end() ? nullptr : &found->second;
}

bool FleetDemand::isFleetKnown() const
{
    const std::size_t own = hosts_.contains(self_) ? 1 : 0;
    return hostCount_ == 1 || hosts_.size() > own;
}

} // namespace Lovageloft
