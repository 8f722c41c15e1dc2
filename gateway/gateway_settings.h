#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

#include "coordination/duty_hosts.h"
#include "core/clock.h"
#include "core/settings.h"
#include "memory/connection_budget.h"

namespace Lovageloft
{

/// The settings of one host that runs the gateway, independent of the file format.
struct GatewaySettings
{
    std::string hostName;
    std::string dataCentre;
    HostAddress callers; ///< Listens for requests of callers.
    HostAddress readiness; ///< Answers readiness checks of the load balancer.
    HostAddress store; ///< Address of the store's server.
    std::size_t storeValueBytes = 1'048'576; ///< Size limit of a value in the store.
    HostAddress peers; ///< Receives datagrams of other hosts.
    HostCapacity capacity;
    double memoryMegabytes = 0; ///< Memory of the host; 0 if it is not known.
    Duration keyProofWindow{}; ///< Time within which a withdrawn key must stop working.
    Duration configurationWindow{}; ///< Time within which a configuration change must be in force.
    Duration weightsDeadline{}; ///< Time after the publication of weights from which no request may begin on older ones.
    Duration leaderLease{};
    Duration shutdownTimeout{}; ///< From the stop signal until the process is killed.
    bool enginesCheckFencing = true; ///< Engines reject orders with an older fencing token than they have seen; otherwise a new leader waits first.
    double retryRatio = 0.1; ///< Retries per request, over all hosts.
    double retrySlack = 0; ///< Additional retries within ten seconds, over all hosts.
    double quotaOver = 0; ///< Fraction of a team's limit by which the limit may be exceeded.
    double quotaSlack = 0; ///< Tokens by which the limit may be exceeded in addition, within one window.
    bool requestsWaitForTokens = false; ///< A request over its team's limit waits if the limit allows it soon; otherwise it is refused.
    double exposureShare = 0.05; ///< Fraction of a service's requests that a version may get which is not trusted yet, over all hosts.
    double exposureSlack = 20; ///< Requests that such a version may get in addition.
    Duration rollbackTime = std::chrono::seconds(5); ///< From the answers that show a bad version to the last request sent to it.
    std::size_t descriptors = 0; ///< Descriptors that this process may have for sockets and pipes; 0 if that is not known.
    double connectionFraction = 0.15; ///< Part of the host's memory for callers' connections and what they have sent ahead.
    double callerConnectionFraction = 0.5; ///< Part of the descriptors for callers' connections; the rest is for targets and other hosts.
    double callerBufferFraction = 0.4; ///< Part of the host's memory for slow callers and request bodies; the rest is for the program and the kernel.
    bool adaptsToEngines = false; ///< Learns the times of engines and divides them between short and long prompts, also where engines state no pace.
    Duration minLeaseTimeToLive{}; ///< The shortest lease that the store grants.

    /// Memory in bytes for slow callers and request bodies; 0 if the host's is not known.
    std::size_t callerBufferBytes() const
    {
        return partOfMemory(callerBufferFraction);
    }

    /// The number of callers' connections, and memory in bytes for them; 0 where it is not known.
    ConnectionLimits connectionLimits() const
    {
        return {static_cast<std::size_t>(static_cast<double>(descriptors) * callerConnectionFraction), partOfMemory(connectionFraction)};
    }

private:
    std::size_t partOfMemory(double fraction) const
    {
        constexpr double bytesPerMegabyte = 1e6;
        return static_cast<std::size_t>(std::max(memoryMegabytes, 0.0) * bytesPerMegabyte * fraction);
    }
};

} // namespace Lovageloft
