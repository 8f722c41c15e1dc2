#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "decision/link_monitor.h"
#include "decision/relay_selector.h"

namespace Lovageloft
{

/// How an attempt to connect to a target through another host ended.
enum class RelayResult : std::uint8_t
{
    Pending,
    Connected,
    TargetUnreachable, ///< The other host can't reach the target either.
    Refused, ///< The other host can't be reached, doesn't relay now, or doesn't know the target.
};

/// One way to connect to a target.
struct PlannedPath
{
    std::string relay; ///< Name of the host that relays; empty for a direct connection.
    Duration timeout{};
};

/// The paths that were tried for one connection to a target.
struct PathAttempts
{
    std::string targetId;
    TimePoint startedAt;
    bool wasTriedDirectly = false;
    std::vector<std::string> relays; ///< Hosts that were asked to relay.
    int unreachableReports = 0; ///< Hosts among them that could not reach the target.
};

/// Decides on which paths a host tries to connect to a target: directly, or through other hosts if its own link is lost. At most one other host
/// lies on a path. Not thread-safe; performs no I/O and reads no clock.
class PathPlanner
{
public:
    explicit PathPlanner(const Random &random);

    /// Sets the other hosts, and the data centre of this one.
    void setHosts(std::span<const RelayHost> hosts, std::string_view dataCentre);

    /// The next path to try for a connection, and records it in `attempts`; nothing if none is left.
    std::optional<PlannedPath> nextPath(PathAttempts &attempts, TimePoint now);

    /// The next path through another host, as above.
    std::optional<PlannedPath> nextRelayedPath(PathAttempts &attempts, TimePoint now);

    /// `suggestion` is the host that a host which refused suggests instead; empty if it suggests none.
    void onRelayResult(PathAttempts &attempts, std::string_view relay, RelayResult result, std::string_view suggestion, TimePoint now);

    /// The host to suggest to others that ask this one to relay; empty if none is known.
    std::string suggestion(TimePoint now);

    LinkMonitor &links()
    {
        return links_;
    }

    const LinkMonitor &links() const
    {
        return links_;
    }

private:
    LinkMonitor links_;
    RelaySelector relays_;
    Random random_;
};

} // namespace Lovageloft
