#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "overload/fair_shares.h"
#include "overload/fleet_demand.h"
#include "overload/host_demand.h"

namespace Lovageloft
{

enum class RefusalReason : std::uint8_t
{
    Deadline, ///< The work ahead would take longer than the remaining time.
    TeamShare, ///< The team requests more than its share of the capacity.
    Priority, ///< Its requests of the highest class are within its share and use it.
};

/// Result of `FleetAdmission::decide`.
struct AdmissionDecision
{
    std::optional<RefusalReason> refusal; ///< Nothing if admitted.
    Duration retryAfter{}; ///< For refused requests.
};

/// Admission control by the same rule at every host. A request that would be late is refused. While the fleet is offered more than the engines complete,
/// each team gets its max-min fair share of the capacity and divides it among its priority classes; each host refuses the same part of the requests of a
/// team and class. Shares follow from rates of demand rather than from the backlog, because rates change little between two digests, which can be 3 s
/// apart. The waits at this host, which are known at once, correct the capacity, so that neither wrong service times nor outdated digests let the backlog
/// grow or engines idle. Not thread-safe; reads no clock.
class FleetAdmission
{
public:
    /// `demand` must outlive this object.
    FleetAdmission(FleetDemand &demand, Random::result_type seed);

    /// Sets the number of serving engines of a service and the seconds of work that they have together.
    void setEngines(std::uint64_t service, std::size_t engines, double workSeconds);

    /// Decides on a request that has arrived. With no engine, requests are admitted and wait for one.
    AdmissionDecision decide(const FleetRequest &request, TimePoint now);

    /// The demand at this host. The caller reports when requests are queued and leave the queue.
    HostDemand &own()
    {
        return own_;
    }

    /// Whether this host has queued requests or has refused one in the last second, so that others need its digests.
    bool isActive(TimePoint now) const;

private:
    struct Team
    {
        ClassSeconds admittedPart{}; ///< Of the requests, 0 to 1.
        bool isAboveShare = false;
    };

    struct Service
    {
        double engines = 0;
        double workSeconds = 0;
        double requestSeconds = 0; ///< Average engine time of a request of this host.
        double inversePatience = 0; ///< Per second; average for requests of this host.
        double correction = 1; ///< Factor of the capacity.
        TimePoint plannedAt;
        ClassSeconds queuedSeconds{}; ///< In the fleet.
        double queueWait = 0; ///< Seconds, at this host.
        bool isFleetKnown = false;
        bool isLimited = false; ///< Whether teams are held to their shares.
        std::map<std::uint64_t, Team> teams;
        std::map<std::uint64_t, ClassSeconds> credits; ///< Parts of a request that may be admitted, for each team and class.
    };

    static void learn(Service &service, const FleetRequest &request, double patience);
    bool hasIdleEngines(const Service &service) const;
    void plan(std::uint64_t id, Service &service, TimePoint now);
    static double correctedCapacity(Service &service, Duration elapsed);
    static void planTeams(Service &service, const FleetDemand::Totals &totals, double capacity);
    static double waitSeconds(const Service &service, std::size_t priority);
    std::optional<RefusalReason> checkShare(Service &service, const FleetRequest &request, std::size_t priority);
    AdmissionDecision refuse(RefusalReason reason, double waitSeconds, TimePoint now);

    FleetDemand &demand_;
    HostDemand own_;
    Random random_;
    std::map<std::uint64_t, Service> services_;
    std::optional<TimePoint> refusedAt_;
};

} // namespace Lovageloft
