#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace Lovageloft
{

/// How an attempt to connect to a target ended.
enum class ConnectResult : std::uint8_t
{
    Connected,
    Refused, ///< Rejected or reset.
    TimedOut,
};

/// Timeout of direct attempts to connect while other hosts can relay, of those made for another host, and of probes.
inline constexpr Duration linkConnectTimeout = std::chrono::milliseconds(150);

/// The result of an attempt that failed after `elapsed`: it timed out if `timeout` has passed.
constexpr ConnectResult connectFailure(Duration elapsed, Duration timeout)
{
    return elapsed < timeout ? ConnectResult::Refused : ConnectResult::TimedOut;
}

/// A target whose link is monitored.
struct MonitoredTarget
{
    std::string_view id;
    std::string_view service;
    std::string_view dataCentre;
};

/// A change of what LinkMonitor believes.
struct LinkChange
{
    std::string scope; ///< "target ID", "service NAME", "data_centre NAME" or "all".
    bool isLost = false;
    ConnectResult cause = ConnectResult::Connected; ///< Of the newest attempt.
    std::size_t lostTargets = 0; ///< Targets in the scope to which the newest attempt failed.
    std::size_t targets = 0; ///< Targets in the scope.
    std::optional<Duration> sinceReached; ///< Age of the newest answer or connection from any target in the scope; nothing if there was none.
};

/// Decides whether this host has lost its links to targets that other hosts still reach (partial partition), from the results of this host's
/// own connection attempts, answers of targets, and what other hosts report about the same targets.
///
/// The link to a target is lost once two attempts in a row to connect to it fail, unless another host can't reach the target either: then the
/// target is down. If attempts to connect to two targets of a service or data centre fail and no target there was reached since, others there
/// are probed; if attempts to four fail, or to all, the links to all targets there are presumed lost until one of them accepts a connection,
/// or answers if connections hang. A few targets that fail at the same time must not look like lost links: if all hosts presumed so, none
/// would connect to the others any more. A lost link is restored by two successful attempts in a row, which are made by probes, so that it
/// doesn't change with each lost packet. Not thread-safe; performs no I/O and reads no clock.
class LinkMonitor
{
public:
    /// Replaces the list of targets. Those that are still listed keep their state.
    void setTargets(std::span<const MonitoredTarget> targets);

    /// Records the result of an attempt to connect directly. Targets that are not listed are ignored, here and below.
    void onConnectResult(std::string_view id, ConnectResult result, TimePoint now);

    /// A target answered on a direct connection. This doesn't restore a lost link: established connections may outlive it.
    void onAnswered(std::string_view id, TimePoint now);

    /// A host that was asked to relay to the target could not reach it either. The target counts as down for half a second.
    void onUnreachableFromPeer(std::string_view id, TimePoint now);

    /// Whether the link to the target is lost, or presumed lost, while the target is not known to be down.
    bool isLost(std::string_view id, TimePoint now) const;

    /// Whether two attempts in a row to connect to this target have failed.
    bool isOwnLinkLost(std::string_view id) const;

    /// Whether the link is presumed lost with all others of a scope, whatever attempts to connect to this target showed.
    bool isPresumedLost(std::string_view id) const;

    /// A request has waited for an answer on an established connection without any sign of the target, while its link is lost.
    void onSilent(std::string_view id);

    /// Whether established connections to the target can still be used. Not if its link is lost and connections hang instead of being refused,
    /// or requests on them have got no answers.
    bool mayUseEstablished(std::string_view id, TimePoint now) const;

    /// Whether the links to all targets, or to all those of a service or data centre, are presumed lost.
    bool isAnyScopeLost() const;

    /// Number of targets whose own link is lost; those that are down count as well.
    std::size_t lostCount() const;

    /// Targets to which a probe connection should be opened now. To be called after each failed attempt and a few times a second.
    std::vector<std::string> dueProbes(TimePoint now);

    /// The changes since the last call.
    std::vector<LinkChange> takeChanges();

private:
    struct Link
    {
        std::string service;
        std::string dataCentre;
        bool isLost = false;
        bool isSilent = false; ///< Requests on established connections got no answers since the link was lost.
        ConnectResult lastResult = ConnectResult::Connected;
        int failures = 0; ///< Consecutive failed attempts.
        int successes = 0; ///< Consecutive successful attempts since the link was lost.
        std::optional<TimePoint> failedAt;
        std::optional<TimePoint> connectedAt;
        std::optional<TimePoint> reachedAt; ///< Newest answer or direct connection.
        TimePoint downUntil;
        TimePoint nextProbe;
    };

    /// Targets that may share a path through the network.
    struct Scope
    {
        std::string Link::*field = nullptr; ///< Links in the scope have `name` here; null for all links.
        std::string name;
        ConnectResult cause = ConnectResult::Connected; ///< Of the attempts from which the loss was presumed.
        TimePoint lostAt;
    };

    static bool contains(const Scope &scope, const Link &link);
    std::vector<Scope> candidateScopes() const;
    void updateScopes(TimePoint now);
    void recordFailure(Link &link, ConnectResult result, TimePoint now);
    void recordSuccess(Link &link, TimePoint now);
    const Scope *lostScopeOf(const Link &link) const;
    void countLinks();
    bool mustPresumeLost(const Scope &scope, TimePoint now) const;
    bool isSuspicious(const Scope &scope, TimePoint now) const;
    std::size_t countFailing(const Scope &scope, TimePoint now) const;
    std::vector<std::string_view> untriedTargets(TimePoint now) const;
    bool isStillLost(const Scope &scope, TimePoint now) const;
    void noteTargetChange(const std::string &id, const Link &link, TimePoint now);
    LinkChange describe(const std::string &label, const Scope &scope, bool isLost, TimePoint now) const;

    std::map<std::string, Link, std::less<>> links_; ///< By target id.
    std::map<std::string, Scope> lostScopes_; ///< By label.
    std::size_t lostCount_ = 0;
    std::size_t suspectCount_ = 0; ///< Targets to which the newest attempt failed.
    ConnectResult lastFailure_ = ConnectResult::Connected;
    std::vector<LinkChange> changes_;
};

} // namespace Lovageloft
