#include "gateway/team_budget.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Fraction of each limit that is divided evenly, in fleets of up to maxHostsAtFullFraction hosts. Large enough that small requests of most
/// teams need no message; what remains is in the pools, which serve hosts beyond their local share.
constexpr double maxLocalFraction = 0.3;
constexpr std::size_t maxHostsAtFullFraction = 96;
constexpr std::size_t homesPerTeam = 2;

double localFractionOf(std::size_t hosts)
{
    return maxLocalFraction * std::min(1.0, static_cast<double>(maxHostsAtFullFraction) / static_cast<double>(std::max<std::size_t>(hosts, 1)));
}

/// Hosts of one region reply within 3 ms; one that takes longer than this timeout is down or partitioned.
constexpr Duration replyTimeout = std::chrono::milliseconds(30);

/// Delay before a pool that moved to a new home becomes available, as other hosts may still ask the previous home. A change of the set of
/// hosts reaches all of them within half a second.
constexpr Duration homeActivationDelay = std::chrono::seconds(1);

/// Fill level of the pools of a process that has just started, which are available at once. After a restart of the whole fleet under load,
/// empty pools would refuse requests of teams below their limits. Full pools could grant tokens twice, as a host that was home before may
/// have granted them; this fraction stays within the tolerance by which limits may be exceeded.
constexpr double initialPoolFraction = 0.25;

/// Retry time in the reply of a host that is not an active home of the team, for example during homeActivationDelay.
constexpr Duration inactiveHomeRetryAfter = std::chrono::milliseconds(500);

} // namespace

TeamBudget::TeamBudget(std::string host)
    : host_(std::move(host))
{
    poolLimiter_.setShare(0, {});
    localLimiter_.setShare(0, {});
}

void TeamBudget::setLimits(std::span<const TeamLimit> limits, TimePoint now)
{
    limits_.assign(limits.begin(), limits.end());
    localLimiter_.setLimits(limits, now);
    poolLimiter_.setLimits(limits, now);
    updateHomes(now);
}

void TeamBudget::setHosts(std::size_t hosts, const std::vector<std::string> &candidates, double share, TimePoint now)
{
    const double localFraction = localFractionOf(hosts);
    localLimiter_.setShare(localFraction * share, now);
    const std::size_t homes = std::clamp<std::size_t>(candidates.size(), 1, homesPerTeam);
    poolLimiter_.setShare((1 - localFraction) / static_cast<double>(homes), now);
    candidates_ = RendezvousNames(candidates);
    updateHomes(now);
}

void TeamBudget::consume(std::string_view team, double tokens, TimePoint now, const RequestSender &send, DecisionHandler handler)
{
    Reason reason;
    Duration retryAfter{};
    if (localLimiter_.tryConsume(team, tokens, now, reason, retryAfter)) {
        handler({true});
        return;
    }
    const std::uint64_t id = ++lastId_;
    pending_.emplace(id, Pending{std::string(team), tokens, 0, 0, now, retryAfter, std::move(handler)});
    askNext(id, now, send);
}

TokenReply TeamBudget::onRequest(const TokenRequest &request, TimePoint now)
{
    const auto home = poolActiveFrom_.find(request.team);
    if (home == poolActiveFrom_.end() || now < home->second) {
        return {request.id, false, inactiveHomeRetryAfter};
    }
    Reason reason;
    Duration retryAfter{};
    const bool isGranted = poolLimiter_.tryConsume(request.team, request.tokens, now, reason, retryAfter);
    return {request.id, isGranted, retryAfter};
}

void TeamBudget::onReply(const TokenReply &reply, TimePoint now, const RequestSender &send)
{
    const auto found = pending_.find(reply.id);
    if (found == pending_.end()) {
        return;
    }
    if (reply.isGranted) {
        finish(reply.id, {true});
        return;
    }
    found->second.retryAfter = std::min(found->second.retryAfter, reply.retryAfter);
    askNext(reply.id, now, send);
}

void TeamBudget::onTick(TimePoint now, const RequestSender &send)
{
    std::vector<std::uint64_t> timedOut;
    for (const auto &[id, pending] : pending_) {
        if (now >= pending.deadline) {
            timedOut.push_back(id);
        }
    }
    for (const std::uint64_t id : timedOut) {
        ++pending_.at(id).homesTimedOut;
        askNext(id, now, send);
    }
}

std::optional<TimePoint> TeamBudget::nextTimeout() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, pending] : pending_) {
        next = next ? std::min(*next, pending.deadline) : pending.deadline;
    }
    return next;
}

void TeamBudget::refund(std::string_view team, double tokens)
{
    localLimiter_.refund(team, tokens);
}

std::vector<std::string> TeamBudget::homesOf(std::string_view team) const
{
    return candidates_.winners(team, homesPerTeam);
}

void TeamBudget::askNext(std::uint64_t id, TimePoint now, const RequestSender &send)
{
    Pending &pending = pending_.at(id);
    const std::vector<std::string> homes = homesOf(pending.team);
    while (pending.nextHome < homes.size()) {
        const std::string &home = homes[pending.nextHome++];
        const TokenRequest request{id, pending.team, pending.tokens};
        if (home != host_) {
            pending.deadline = now + replyTimeout;
            send(home, request);
            return;
        }
        const TokenReply reply = onRequest(request, now);
        if (reply.isGranted) {
            finish(id, {true});
            return;
        }
        pending.retryAfter = std::min(pending.retryAfter, reply.retryAfter);
    }
    finish(id, {false, pending.retryAfter, pending.nextHome, pending.homesTimedOut});
}

void TeamBudget::finish(std::uint64_t id, const TokenDecision &decision)
{
    const DecisionHandler handler = std::move(pending_.at(id).handler);
    pending_.erase(id);
    handler(decision);
}

void TeamBudget::updateHomes(TimePoint now)
{
    if (candidates_.isEmpty() || limits_.empty()) {
        return;
    }
    const bool isFirstUpdate = !std::exchange(isInitialized_, true);
    std::map<std::string, TimePoint, std::less<>> homes;
    for (const TeamLimit &limit : limits_) {
        const std::vector<std::string> candidates = homesOf(limit.name);
        if (std::find(candidates.begin(), candidates.end(), host_) == candidates.end()) {
            continue;
        }
        const auto known = poolActiveFrom_.find(limit.name);
        if (known != poolActiveFrom_.end()) {
            homes.emplace(limit.name, known->second);
            continue;
        }
        const Duration delay = isFirstUpdate ? Duration::zero() : homeActivationDelay;
        homes.emplace(limit.name, now + delay);
        poolLimiter_.resetBucket(limit.name, isFirstUpdate ? initialPoolFraction : 0, now + delay);
    }
    poolActiveFrom_ = std::move(homes);
}

} // namespace Lovageloft
