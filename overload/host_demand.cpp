#include "overload/host_demand.h"

#include <algorithm>
#include <cmath>

#include "overload/digest_schedule.h"

namespace Lovageloft
{

namespace
{

constexpr Duration minTimeConstant = std::chrono::seconds(1);
constexpr double waitWeight = 0.2; ///< Of a request in the average.
constexpr Duration waitValidity = std::chrono::seconds(1);
constexpr double negligibleSeconds = 1e-4; ///< A team with less engine time in the last second is idle.

std::size_t classOf(const FleetRequest &request)
{
    return std::min(request.priority, priorityClassCount - 1);
}

} // namespace

void HostDemand::Recent::add(double added, double timeConstant, TimePoint now)
{
    amount = at(timeConstant, now) + added;
    addedAt = now;
}

double HostDemand::Recent::at(double timeConstant, TimePoint now) const
{
    return amount * std::exp(-toSeconds(now - addedAt) / timeConstant);
}

void HostDemand::setHosts(std::size_t hosts)
{
    timeConstant_ = toSeconds(std::max(minTimeConstant, digestInterval(hosts)));
}

void HostDemand::onOffered(const FleetRequest &request, TimePoint now)
{
    services_[request.service].teams[request.team][classOf(request)].add(request.engineSeconds, timeConstant_, now);
}

void HostDemand::onQueued(const FleetRequest &request, TimePoint now)
{
    Service &service = services_[request.service];
    service.queuedSeconds[classOf(request)] += request.engineSeconds;
    service.queuedAt.insert(now);
}

void HostDemand::onLeft(const FleetRequest &request, TimePoint queuedAt, TimePoint now)
{
    Service &service = services_[request.service];
    const auto found = service.queuedAt.find(queuedAt);
    if (found == service.queuedAt.end()) {
        return;
    }
    service.queuedAt.erase(found);
    service.averageWait += waitWeight * (toSeconds(now - queuedAt) - service.averageWait);
    service.leftAt = now;
    double &queued = service.queuedSeconds[classOf(request)];
    queued = std::max(queued - request.engineSeconds, 0.0);
    if (service.queuedAt.empty()) {
        service.queuedSeconds = {}; // Rounding errors don't accumulate.
    }
}

double HostDemand::recentWait(std::uint64_t service, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    const Service &waiting = found->second;
    const double average = now - waiting.leftAt < waitValidity ? waiting.averageWait : 0;
    const double oldest = waiting.queuedAt.empty() ? 0 : toSeconds(now - *waiting.queuedAt.begin());
    return std::max(average, oldest);
}

double HostDemand::queuedSeconds() const
{
    double sum = 0;
    for (const auto &[id, service] : services_) {
        for (const double queued : service.queuedSeconds) {
            sum += queued;
        }
    }
    return sum;
}

DemandDigest HostDemand::snapshot(TimePoint now)
{
    DemandDigest digest{.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count()), .services = {}};
    for (auto &[id, service] : services_) {
        dropIdleTeams(service, now);
        digest.services.push_back(demandOf(id, service, now));
    }
    std::erase_if(services_, [](const auto &entry) { return entry.second.teams.empty() && entry.second.queuedAt.empty(); });
    return digest;
}

DemandDigest HostDemand::digest(TimePoint now)
{
    DemandDigest digest = snapshot(now);
    for (ServiceDemand &demand : digest.services) {
        std::vector<TeamDemand> &teams = demand.teams;
        if (teams.size() <= maxTeamsPerDigest) {
            continue;
        }
        std::uint64_t &next = services_[demand.service].nextTeam;
        const auto first = std::find_if(teams.begin(), teams.end(), [next](const TeamDemand &team) { return team.team >= next; });
        std::rotate(teams.begin(), first, teams.end());
        next = teams[maxTeamsPerDigest].team;
        teams.resize(maxTeamsPerDigest);
    }
    return digest;
}

void HostDemand::dropIdleTeams(Service &service, TimePoint now) const
{
    std::erase_if(service.teams, [this, now](const auto &entry) {
        return std::all_of(
            entry.second.begin(), entry.second.end(), [this, now](const Recent &recent) { return recent.at(timeConstant_, now) < negligibleSeconds; });
    });
}

ServiceDemand HostDemand::demandOf(std::uint64_t id, const Service &service, TimePoint now) const
{
    ServiceDemand demand{.service = id, .queuedSeconds = {}, .offeredSeconds = {}, .oldestSeconds = 0, .teams = {}};
    std::copy(service.queuedSeconds.begin(), service.queuedSeconds.end(), demand.queuedSeconds.begin());
    if (!service.queuedAt.empty()) {
        demand.oldestSeconds = static_cast<float>(toSeconds(now - *service.queuedAt.begin()));
    }
    for (const auto &[team, offered] : service.teams) {
        TeamDemand &added = demand.teams.emplace_back(TeamDemand{.team = team, .offeredSeconds = {}});
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            added.offeredSeconds[i] = static_cast<float>(offered[i].at(timeConstant_, now) / timeConstant_);
            demand.offeredSeconds[i] += added.offeredSeconds[i];
        }
    }
    return demand;
}

} // namespace Lovageloft
