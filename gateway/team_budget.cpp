#include "gateway/team_budget.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Part of each limit that is divided evenly, in a fleet of evenHosts or less. Enough that small requests of most teams need no message;
/// what lies in pools is what a host can get beyond its even part.
constexpr double mostOwnPart = 0.3;
constexpr std::size_t evenHosts = 96;
constexpr std::size_t homesPerTeam = 2;

double ownPartOf(std::size_t hosts)
{
    return mostOwnPart * std::min(1.0, static_cast<double>(evenHosts) / static_cast<double>(std::max<std::size_t>(hosts, 1)));
}

/// Hosts of one region answer within 3 ms; one that has not after this is gone or cut off.
constexpr Duration replyTimeout = std::chrono::milliseconds(30);

/// A pool that comes to a new home is not given out for so long: other hosts may still ask the home before. They hear of a change
/// of the hosts within half a second.
constexpr Duration homeSettleTime = std::chrono::seconds(1);

/// A process that has just started gives its pools out at once, and begins with this part of them. Made for a restart of the whole
/// fleet under load, when empty pools refuse requests below their teams' limits. A part and not
/// all, since a host that was home until then may have given out the rest: this much is covered by what limits may be passed by.
constexpr double startingPool = 0.25;

/// What a host may come back after when no home answered.
constexpr Duration silentRetryAfter = std::chrono::milliseconds(500);

} // namespace

TeamBudget::TeamBudget(std::string host)
    : host_(std::move(host))
{
    pools_.setShare(0, {});
    own_.setShare(0, {});
}

void TeamBudget::setLimits(std::span<const TeamLimit> limits, TimePoint now)
{
    limits_.assign(limits.begin(), limits.end());
    own_.setLimits(limits, now);
    pools_.setLimits(limits, now);
    updateHomes(now);
}

void TeamBudget::setHosts(std::size_t hosts, const std::vector<std::string> &candidates, double share, TimePoint now)
{
    const double ownPart = ownPartOf(hosts);
    own_.setShare(ownPart * share, now);
    const std::size_t homes = std::clamp<std::size_t>(candidates.size(), 1, homesPerTeam);
    pools_.setShare((1 - ownPart) / static_cast<double>(homes), now);
    candidates_ = RendezvousNames(candidates);
    updateHomes(now);
}

void TeamBudget::consume(std::string_view team, double tokens, TimePoint now, const RequestSender &send, DecisionHandler answer)
{
    Reason reason;
    Duration retryAfter{};
    if (own_.tryConsume(team, tokens, now, reason, retryAfter)) {
        answer({true});
        return;
    }
    const std::uint64_t id = ++lastId_;
    pending_.emplace(id, Pending{std::string(team), tokens, 0, 0, now, retryAfter, std::move(answer)});
    askNext(id, now, send);
}

TokenReply TeamBudget::onRequest(const TokenRequest &request, TimePoint now)
{
    const auto home = homeSince_.find(request.team);
    if (home == homeSince_.end() || now < home->second) {
        return {request.id, false, silentRetryAfter};
    }
    Reason reason;
    Duration retryAfter{};
    const bool isGranted = pools_.tryConsume(request.team, request.tokens, now, reason, retryAfter);
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
    std::vector<std::uint64_t> late;
    for (const auto &[id, pending] : pending_) {
        if (now >= pending.deadline) {
            late.push_back(id);
        }
    }
    for (const std::uint64_t id : late) {
        ++pending_.at(id).homesSilent;
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
    own_.refund(team, tokens);
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
    finish(id, {false, pending.retryAfter, pending.nextHome, pending.homesSilent});
}

void TeamBudget::finish(std::uint64_t id, const TokenDecision &decision)
{
    const DecisionHandler answer = std::move(pending_.at(id).answer);
    pending_.erase(id);
    answer(decision);
}

void TeamBudget::updateHomes(TimePoint now)
{
    if (candidates_.isEmpty() || limits_.empty()) {
        return;
    }
    const bool isStart = !std::exchange(hasHomes_, true);
    std::map<std::string, TimePoint, std::less<>> homes;
    for (const TeamLimit &limit : limits_) {
        const std::vector<std::string> candidates = homesOf(limit.name);
        if (std::find(candidates.begin(), candidates.end(), host_) == candidates.end()) {
            continue;
        }
        const auto known = homeSince_.find(limit.name);
        if (known != homeSince_.end()) {
            homes.emplace(limit.name, known->second);
            continue;
        }
        const Duration settle = isStart ? Duration::zero() : homeSettleTime;
        homes.emplace(limit.name, now + settle);
        pools_.resetBucket(limit.name, isStart ? startingPool : 0, now + settle);
    }
    homeSince_ = std::move(homes);
}

} // namespace Lovageloft
