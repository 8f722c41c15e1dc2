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

TeamBudget::TeamBudget(std::string host, ReturnSender sendReturn)
    : host_(std::move(host))
    , sendReturn_(std::move(sendReturn))
{
    localLimiter_.setShare(0, {});
}

void TeamBudget::setMayWait(bool mayWait)
{
    mayWait_ = mayWait;
}

bool TeamBudget::mayWait() const
{
    return mayWait_;
}

void TeamBudget::setLimits(std::span<const TeamLimit> limits, TimePoint now)
{
    limits_.assign(limits.begin(), limits.end());
    localLimiter_.setLimits(limits, now);
    updateHomes(now);
}

void TeamBudget::setHosts(std::size_t hosts, const std::vector<std::string> &candidates, double share, TimePoint now)
{
    const double localFraction = localFractionOf(hosts);
    localLimiter_.setShare(localFraction * share, now);
    const std::size_t homes = std::clamp<std::size_t>(candidates.size(), 1, homesPerTeam);
    poolShare_ = (1 - localFraction) / static_cast<double>(homes);
    candidates_ = RendezvousNames(candidates);
    updateHomes(now);
}

std::uint64_t TeamBudget::consume(std::string_view team, double tokens, Duration maxWait, TimePoint now, const RequestSender &send, DecisionHandler handler)
{
    const std::uint64_t id = ++lastId_;
    Reason reason;
    Duration retryAfter{};
    if (localLimiter_.tryConsume(team, tokens, now, reason, retryAfter)) {
        handler({true});
        return id;
    }
    const TimePoint waitUntil = now + (mayWait_ ? std::clamp(maxWait, Duration::zero(), longestReservationWait) : Duration::zero());
    pending_.emplace(id, Pending{std::string(team), tokens, waitUntil, 0, 0, now, retryAfter, std::move(handler)});
    askNext(id, now, send);
    return id;
}

void TeamBudget::cancel(std::uint64_t id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end() || !found->second.isReserved) {
        return;
    }
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    refund(pending.team, pending.tokens, pending.askedHome);
}

TokenReply TeamBudget::onRequest(const TokenRequest &request, TimePoint now)
{
    const auto pool = pools_.find(request.team);
    if (pool == pools_.end() || now < pool->second.activeFrom) {
        return {.id = request.id, .retryAfter = inactiveHomeRetryAfter, .hasNoPool = true};
    }
    const Duration maxWait = mayWait_ ? request.maxWait : Duration::zero();
    const TokenReservation reservation = pool->second.bucket.reserve(request.tokens, maxWait, now);
    return {request.id, reservation.isGranted, reservation.retryAfter, reservation.validIn};
}

void TeamBudget::onReply(const TokenReply &reply, TimePoint now, const RequestSender &send)
{
    const auto found = pending_.find(reply.id);
    if (found == pending_.end() || found->second.isReserved) {
        return;
    }
    handleReply(reply, now);
    if (!reply.isGranted) {
        askNext(reply.id, now, send);
    }
}

void TeamBudget::onReturn(const TokenReturn &tokens)
{
    const auto pool = pools_.find(tokens.team);
    if (pool != pools_.end()) {
        pool->second.bucket.refund(tokens.tokens);
    }
}

void TeamBudget::onTick(TimePoint now, const RequestSender &send)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, pending] : pending_) {
        if (now >= pending.deadline) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            continue; // Cancelled by a handler.
        }
        if (found->second.isReserved) {
            finish(id, {.isGranted = true, .home = found->second.askedHome});
            continue;
        }
        ++found->second.homesTimedOut;
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

void TeamBudget::refund(std::string_view team, double tokens, const std::string &home)
{
    if (!mayWait_ || home.empty()) {
        localLimiter_.refund(team, tokens);
    } else if (home == host_) {
        onReturn({std::string(team), tokens});
    } else {
        sendReturn_(home, {std::string(team), tokens});
    }
}

std::vector<std::string> TeamBudget::homesOf(std::string_view team) const
{
    return candidates_.winners(team, homesPerTeam);
}

void TeamBudget::askNext(std::uint64_t id, TimePoint now, const RequestSender &send)
{
    Pending &pending = pending_.at(id);
    while (chooseHome(pending, now)) {
        const TokenRequest request{id, pending.team, pending.tokens, pending.offeredWait};
        if (pending.askedHome != host_) {
            pending.deadline = now + replyTimeout;
            send(pending.askedHome, request);
            return;
        }
        const TokenReply reply = onRequest(request, now);
        handleReply(reply, now);
        if (reply.isGranted) {
            return;
        }
    }
    finish(id, {false, pending.retryAfter, pending.nextHome, pending.homesTimedOut});
}

/// Chooses the home to ask next, and the wait to offer it; false if none is left. A home that has the tokens now is preferred, so only the
/// last one may reserve them at once, if it has them sooner than the others. Otherwise the one that has them soonest is asked again.
bool TeamBudget::chooseHome(Pending &pending, TimePoint now) const
{
    const Duration wait = std::max(Duration::zero(), pending.waitUntil - now);
    const std::vector<std::string> homes = homesOf(pending.team);
    if (pending.nextHome < homes.size()) {
        pending.askedHome = homes[pending.nextHome++];
        const bool isLast = pending.nextHome == homes.size();
        pending.offeredWait = isLast ? std::min(wait, pending.soonest) : Duration::zero();
        return true;
    }
    if (pending.soonestHome.empty() || pending.soonest > wait) {
        return false;
    }
    pending.askedHome = std::exchange(pending.soonestHome, {});
    pending.offeredWait = wait;
    return true;
}

/// Notes a reply of the home that was asked; the caller asks the next one if it is refused.
void TeamBudget::handleReply(const TokenReply &reply, TimePoint now)
{
    Pending &pending = pending_.at(reply.id);
    if (reply.isGranted && reply.validIn <= Duration::zero()) {
        finish(reply.id, {.isGranted = true, .home = pending.askedHome});
        return;
    }
    if (reply.isGranted) {
        pending.isReserved = true;
        pending.deadline = now + std::min(reply.validIn, longestReservationWait);
        return;
    }
    pending.retryAfter = std::min(pending.retryAfter, reply.retryAfter);
    const bool mayReserve = !reply.hasNoPool && pending.offeredWait == Duration::zero();
    if (mayReserve && reply.retryAfter < pending.soonest) {
        pending.soonest = reply.retryAfter;
        pending.soonestHome = pending.askedHome;
    }
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
    std::map<std::string, Pool, std::less<>> pools;
    for (const TeamLimit &limit : limits_) {
        const std::vector<std::string> homes = homesOf(limit.name);
        if (std::find(homes.begin(), homes.end(), host_) == homes.end()) {
            continue;
        }
        const auto known = pools_.find(limit.name);
        if (known == pools_.end()) {
            pools.emplace(limit.name, newPool(limit, isFirstUpdate, now));
            continue;
        }
        known->second.bucket.setLimit(poolLimit(limit), now);
        pools.emplace(limit.name, known->second);
    }
    pools_ = std::move(pools);
}

TokenBucketLimit TeamBudget::poolLimit(const TeamLimit &limit) const
{
    return {limit.rate * poolShare_, limit.burst * poolShare_};
}

TeamBudget::Pool TeamBudget::newPool(const TeamLimit &limit, bool isFirstUpdate, TimePoint now) const
{
    const TokenBucketLimit poolLimit = this->poolLimit(limit);
    if (!isFirstUpdate) {
        const TimePoint activeFrom = now + homeActivationDelay;
        return {activeFrom, {poolLimit, 0, activeFrom}};
    }
    // Reservations of this host's previous process may still be valid.
    const TimePoint refillsFrom = mayWait_ ? now + longestReservationWait : now;
    return {now, {poolLimit, poolLimit.capacity * initialPoolFraction, refillsFrom}};
}

} // namespace Lovageloft
