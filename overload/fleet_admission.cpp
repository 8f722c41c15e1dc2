#include "overload/fleet_admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Lovageloft
{

namespace
{

constexpr Duration planInterval = std::chrono::milliseconds(10);
constexpr Duration maxPlanGap = std::chrono::milliseconds(100); ///< The correction follows at most this much time at once.
constexpr Duration refusalMemory = std::chrono::seconds(1);

/// Wait aimed at under overload, as part of the time that requests can wait: enough that engines never idle, with room for fluctuations.
constexpr double targetWaitPart = 0.25;
constexpr double averageWeight = 0.02; ///< Of a request in the averages.
constexpr double minPatience = 0.01; ///< Seconds.

/// Busy engines that each run one request have half of it left on average. With less, some idle, and a request is admitted whatever older figures
/// say.
constexpr double idleWorkPart = 0.5;

/// Reaction of the capacity to the error of the wait.
constexpr double proportionalGain = 0.25;
constexpr double integralGain = 0.25; ///< A second.
/// A wait that the backlog of the fleet suggests counts up to this multiple of the wait at this host.
constexpr double maxWaitRatio = 1.5;

constexpr double minCorrection = 0.5;
constexpr double maxCorrection = 2;

/// Teams that no digest names have at most this part of the capacity, and at most their demand.
constexpr double unnamedPart = 0.5;

/// A team that offers more than its share by at most this part counts as within it: its demand is only known that well, and would else be cut whenever
/// the figure is too high.
constexpr double shareTolerance = 0.05;

constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr double retryJitter = 0.2;
constexpr double microsPerSecond = 1e6;

ClassSeconds toSecondsByClass(const FleetDemand::ClassMicros &micros)
{
    ClassSeconds seconds{};
    std::transform(micros.begin(), micros.end(), seconds.begin(), [](std::int64_t figure) { return static_cast<double>(figure) / microsPerSecond; });
    return seconds;
}

double sumOf(const ClassSeconds &seconds)
{
    return std::accumulate(seconds.begin(), seconds.end(), 0.0);
}

double fractionBelow1(Random &random)
{
    constexpr std::size_t steps = 1 << 20;
    return static_cast<double>(randomBelow(random, steps)) / steps;
}

} // namespace

FleetAdmission::FleetAdmission(FleetDemand &demand, Random::result_type seed)
    : demand_(demand)
    , random_(seed)
{
}

void FleetAdmission::setEngines(std::uint64_t service, std::size_t engines, double workSeconds)
{
    Service &changed = services_[service];
    changed.engines = static_cast<double>(engines);
    changed.workSeconds = std::max(workSeconds, 0.0);
}

AdmissionDecision FleetAdmission::decide(const FleetRequest &request, TimePoint now)
{
    own_.onOffered(request, now);
    Service &service = services_[request.service];
    if (service.engines <= 0) {
        return {};
    }
    const double patience = toSeconds(request.remaining - request.serviceTime);
    learn(service, request, patience);
    if (now - service.plannedAt >= planInterval) {
        plan(request.service, service, now);
    }
    const std::size_t priority = std::min(request.priority, priorityClassCount - 1);
    if (hasIdleEngines(service)) {
        return {};
    }
    const double wait = waitSeconds(service, priority);
    if (wait > patience) {
        return refuse(RefusalReason::Deadline, wait - patience, now);
    }
    const std::optional<RefusalReason> refusal = checkShare(service, request, priority);
    return refusal ? refuse(*refusal, wait, now) : AdmissionDecision{};
}

void FleetAdmission::learn(Service &service, const FleetRequest &request, double patience)
{
    const double weight = service.inversePatience > 0 ? averageWeight : 1;
    service.inversePatience += weight * (1 / std::max(patience, minPatience) - service.inversePatience);
    service.requestSeconds += weight * (request.engineSeconds - service.requestSeconds);
}

/// Requests that this host has queued would be the first to use them.
bool FleetAdmission::hasIdleEngines(const Service &service) const
{
    return service.workSeconds < idleWorkPart * service.requestSeconds * service.engines && own_.queuedSeconds() <= 0;
}

bool FleetAdmission::isActive(TimePoint now) const
{
    return own_.queuedSeconds() > 0 || (refusedAt_ && now - *refusedAt_ < refusalMemory);
}

void FleetAdmission::plan(std::uint64_t id, Service &service, TimePoint now)
{
    const Duration elapsed = std::min(now - service.plannedAt, maxPlanGap);
    service.plannedAt = now;
    demand_.dropExpired(now);
    demand_.mergeOwn(own_.snapshot(now), now);
    const FleetDemand::Totals *totals = demand_.totals(id);
    service.isLimited = false;
    service.queueWait = own_.recentWait(id, now);
    service.isFleetKnown = demand_.isFleetKnown();
    service.queuedSeconds = totals == nullptr ? ClassSeconds{} : toSecondsByClass(totals->queuedMicros);
    if (totals == nullptr || !service.isFleetKnown) {
        service.correction = 1;
        return;
    }
    const double capacity = correctedCapacity(service, elapsed);
    if (sumOf(toSecondsByClass(totals->offeredMicros)) <= capacity) {
        service.credits.clear();
        return;
    }
    service.isLimited = true;
    planTeams(service, *totals, capacity);
}

double FleetAdmission::correctedCapacity(Service &service, Duration elapsed)
{
    const double target = targetWaitPart / service.inversePatience;
    const double wait = service.queueWait + service.workSeconds / service.engines;
    const double error = std::clamp((target - wait) / target, -1.0, 1.0);
    service.correction = std::clamp(service.correction * (1 + integralGain * error * toSeconds(elapsed)), minCorrection, maxCorrection);
    return service.engines * service.correction * (1 + proportionalGain * error);
}

void FleetAdmission::planTeams(Service &service, const FleetDemand::Totals &totals, double capacity)
{
    std::vector<double> demands;
    for (const auto &[team, micros] : totals.teams) {
        demands.push_back(sumOf(toSecondsByClass(micros)));
    }
    const double named = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double unnamed = std::max(sumOf(toSecondsByClass(totals.offeredMicros)) - named, 0.0);
    const double share = maxMinShare(demands, capacity - std::min(unnamed, unnamedPart * capacity));
    service.teams.clear();
    for (const auto &[id, micros] : totals.teams) {
        const ClassSeconds offered = toSecondsByClass(micros);
        Team &team = service.teams[id];
        team.isAboveShare = sumOf(offered) > share * (1 + shareTolerance);
        const ClassSeconds admitted = team.isAboveShare ? sharesByPriority(offered, share) : offered;
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            team.admittedPart[i] = offered[i] > 0 ? admitted[i] / offered[i] : 1;
        }
    }
    std::erase_if(service.credits, [&service](const auto &entry) { return !service.teams.contains(entry.first); });
}

/// Time until engines have completed the work ahead of a request of this priority. Digests of a large fleet can be older than the requests that they
/// count, so that the backlog which they state counts at most as much as the waits at this host suggest.
double FleetAdmission::waitSeconds(const Service &service, std::size_t priority)
{
    const double engineWait = service.workSeconds / service.engines;
    if (!service.isFleetKnown) {
        return engineWait + service.queueWait;
    }
    const auto end = service.queuedSeconds.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
    const double fleetWait = std::accumulate(service.queuedSeconds.begin(), end, 0.0) / service.engines;
    return engineWait + std::min(fleetWait, maxWaitRatio * service.queueWait);
}

/// Admits the part that is due of each team and class evenly rather than by chance, so that hosts with few requests keep to it as well.
std::optional<RefusalReason> FleetAdmission::checkShare(Service &service, const FleetRequest &request, std::size_t priority)
{
    const auto found = service.teams.find(request.team);
    if (!service.isLimited || found == service.teams.end()) {
        return std::nullopt;
    }
    const auto [entry, isNew] = service.credits.try_emplace(request.team);
    if (isNew) {
        std::generate(entry->second.begin(), entry->second.end(), [this]() { return fractionBelow1(random_); });
    }
    double &credit = entry->second[priority];
    credit += found->second.admittedPart[priority];
    if (credit >= 1) {
        credit -= 1;
        return std::nullopt;
    }
    return priority > 0 && found->second.admittedPart[0] >= 1 ? RefusalReason::Priority : RefusalReason::TeamShare;
}

AdmissionDecision FleetAdmission::refuse(RefusalReason reason, double waitSeconds, TimePoint now)
{
    refusedAt_ = now;
    const double seconds = std::max(waitSeconds, toSeconds(minRetryAfter));
    return {.refusal = reason, .retryAfter = fromSeconds(seconds * (1 + retryJitter * fractionBelow1(random_)))};
}

} // namespace Lovageloft
