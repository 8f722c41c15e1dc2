#include "decision/path_planner.h"

namespace Lovageloft
{

namespace
{

/// The network latency between hosts and targets is about a millisecond. A target that does not accept within this time is unreachable or
/// overloaded.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);

/// Covers the connection to the other host and its own attempt to connect to the target.
constexpr Duration relayTimeout = std::chrono::milliseconds(250);

/// No further path is tried after this time.
constexpr Duration maxPathTime = std::chrono::milliseconds(600);
constexpr std::size_t maxRelaysTried = 3;

/// Hosts that must report a target as unreachable before it counts as down: one alone may have lost its own link.
constexpr int reportsOfDownTarget = 2;

} // namespace

PathPlanner::PathPlanner(const Random &random)
    : random_(random)
{
}

void PathPlanner::setHosts(std::span<const RelayHost> hosts, std::string_view dataCentre)
{
    relays_.setHosts(hosts, dataCentre);
}

std::optional<PlannedPath> PathPlanner::nextPath(PathAttempts &attempts, TimePoint now)
{
    if (!attempts.wasTriedDirectly && !links_.isLost(attempts.targetId, now)) {
        attempts.wasTriedDirectly = true;
        return PlannedPath{{}, relays_.size() == 0 ? connectTimeout : linkConnectTimeout};
    }
    auto path = nextRelayedPath(attempts, now);
    if (!path && !attempts.wasTriedDirectly && links_.isPresumedLost(attempts.targetId) && !links_.isOwnLinkLost(attempts.targetId)) {
        // The presumption may be wrong, and no host is left to ask.
        attempts.wasTriedDirectly = true;
        return PlannedPath{{}, linkConnectTimeout};
    }
    return path;
}

std::optional<PlannedPath> PathPlanner::nextRelayedPath(PathAttempts &attempts, TimePoint now)
{
    const bool isDown = attempts.unreachableReports >= reportsOfDownTarget;
    if (isDown || attempts.relays.size() >= maxRelaysTried || now - attempts.startedAt > maxPathTime) {
        return std::nullopt;
    }
    const auto relay = relays_.choose(attempts.relays, now, random_);
    if (!relay) {
        return std::nullopt;
    }
    attempts.relays.push_back(*relay);
    return PlannedPath{*relay, relayTimeout};
}

void PathPlanner::onRelayResult(PathAttempts &attempts, std::string_view relay, RelayResult result, std::string_view suggestion, TimePoint now)
{
    switch (result) {
    case RelayResult::Connected:
        relays_.onRelayed(relay, now);
        break;
    case RelayResult::TargetUnreachable:
        if (++attempts.unreachableReports >= reportsOfDownTarget || relays_.size() == 1) {
            links_.onUnreachableFromPeer(attempts.targetId, now);
        }
        break;
    case RelayResult::Refused:
    case RelayResult::Pending:
        relays_.onFailed(relay, now);
        relays_.onSuggested(suggestion, now);
        break;
    }
}

std::string PathPlanner::suggestion(TimePoint now)
{
    return relays_.suggestion(now, random_);
}

} // namespace Lovageloft
