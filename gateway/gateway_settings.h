#pragma once

#include <string>

#include "coordination/duty_hosts.h"
#include "core/clock.h"
#include "core/settings.h"

namespace Lovageloft
{

/// The settings of one host that runs the gateway, however they were written.
struct GatewaySettings
{
    std::string hostName;
    std::string dataCentre;
    HostAddress callers;
    HostAddress readiness;
    HostAddress store;
    HostAddress peers; ///< Where datagrams of other hosts come.
    HostCapacity capacity;
    Duration keyProofWindow{}; ///< A withdrawn key must have stopped working within that time.
    Duration configurationWindow{}; ///< A change must be in force within that time.
    Duration weightsDeadline{}; ///< New weights must serve all new requests within that time.
    Duration leaderLease{};
    Duration shutdownTimeout{}; ///< From the signal to stop until the process is killed.
    bool enginesCheckFencing = true;
    double retryRatio = 0.1; ///< Retries per request over all hosts.
    double retrySlack = 0; ///< Retries that are allowed on top, over all hosts, within ten seconds.
    double quotaOver = 0; ///< Part of a team's limit by which it may be passed.
    double quotaSlack = 0; ///< Tokens by which it may be passed on top, within one window.
    Duration minLeaseTimeToLive{}; ///< The store grants none below.
};

} // namespace Lovageloft
