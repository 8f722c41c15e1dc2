#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/clock.h"
#include "overload/demand_digest.h"

namespace Lovageloft
{

/// A request as admission control sees it.
struct FleetRequest
{
    std::uint64_t service = 0;
    std::size_t priority = 0; ///< Class 0 (highest) to 2; larger numbers count as 2.
    std::uint64_t team = 0;
    double engineSeconds = 0; ///< Time for which it occupies one engine alone.
    Duration remaining{}; ///< Until its deadline.
    Duration serviceTime{}; ///< From its start at an engine until its caller has what the deadline is for.
};

/// The demand at this host: what was offered in the last second and what is queued. Not thread-safe; reads no clock.
class HostDemand
{
public:
    /// Sets the number of hosts including this one. Rates are averaged over at least the interval between digests: in a shorter time a host of a large
    /// fleet gets too few requests of a team, and others would use such a chance figure for the whole interval.
    void setHosts(std::size_t hosts);

    /// A request has arrived, whether or not it is admitted.
    void onOffered(const FleetRequest &request, TimePoint now);

    void onQueued(const FleetRequest &request, TimePoint now);

    /// A request that was queued at `queuedAt` has been sent, or has left the queue otherwise. Requests that are sent at once are to be reported as well.
    void onLeft(const FleetRequest &request, TimePoint queuedAt, TimePoint now);

    /// How long requests of the service wait in this host's queue now, in seconds; zero if none has waited in the last second.
    double recentWait(std::uint64_t service, TimePoint now) const;

    /// Engine time of all queued requests, in seconds.
    double queuedSeconds() const;

    /// The demand with all teams, for use at this host.
    DemandDigest snapshot(TimePoint now);

    /// The demand with at most 8 teams of each service, for other hosts. Teams take turns, so that digests together name all of them.
    DemandDigest digest(TimePoint now);

private:
    /// A sum that decays exponentially.
    struct Recent
    {
        void add(double added, double timeConstant, TimePoint now);
        double at(double timeConstant, TimePoint now) const;

        double amount = 0;
        TimePoint addedAt;
    };

    struct Service
    {
        std::array<double, priorityClassCount> queuedSeconds{};
        std::multiset<TimePoint> queuedAt;
        std::map<std::uint64_t, std::array<Recent, priorityClassCount>> teams;
        double averageWait = 0; ///< Seconds.
        TimePoint leftAt; ///< When a request last left the queue.
        std::uint64_t nextTeam = 0; ///< At which the next digest begins.
    };

    void dropIdleTeams(Service &service, TimePoint now) const;
    ServiceDemand demandOf(std::uint64_t id, const Service &service, TimePoint now) const;

    double timeConstant_ = 1; ///< Seconds.
    std::map<std::uint64_t, Service> services_;
};

} // namespace Lovageloft
