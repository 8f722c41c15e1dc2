#include "coordination/share_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Lovageloft
{

namespace
{

/// Each round asks the home estimated to be fullest, and its reply corrects the estimate. With up to 12 homes, about as many rounds
/// find all available tokens. With 3 rounds, 2.6% of a team's tokens were refused within its rate; with 10, less than half of that.
constexpr int maxRounds = 10;

/// Fractions of the burst of a home. A request that would leave this host below `minLocalFill` is charged to a home that is filled
/// above `nearlyFull`, if there is one. This costs the request a round trip, and saves the team the refill that a full home loses.
constexpr double minLocalFill = 0.5;
constexpr double nearlyFull = 0.9;

/// Estimates are reduced by a pseudo-random fraction of at most this value before the fullest home is selected. Otherwise all hosts
/// that have had no reply for some time would ask the same home, the first by name, while the other homes overflow.
constexpr double estimateJitter = 0.2;

/// A pseudo-random number from 0 to 1 that depends on the home and the debit request.
double jitter(std::string_view home, std::uint64_t id)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(XXH3_64bits_withSeed(home.data(), home.size(), id)) / range;
}

constexpr Duration minRetryAfter = std::chrono::milliseconds(1);

/// Bisection steps for the time until a refill suffices: they narrow the interval to a millionth.
constexpr int refillSearchSteps = 20;

ShareDecision refusal(std::uint64_t requestId, ResultCode code, std::string text, Duration retryAfter = {})
{
    ShareDecision decision;
    decision.verdict = ShareVerdict::Refuse;
    decision.requestId = requestId;
    decision.reason = {code, std::move(text)};
    decision.retryAfter = retryAfter;
    return decision;
}

} // namespace

ShareLedger::ShareLedger(std::string host, std::string incarnation, TimePoint now, ShareOptions options)
    : host_(std::move(host))
    , incarnation_(std::move(incarnation))
    , options_(options)
    , refillStart_(now + options.debitLifetime)
    , freshUntil_(now)
    , versions_(std::max(options.growDelay, options.debitLifetime), options.debitLifetime)
{
    options_.gatherTimeout = std::min(options_.gatherTimeout, options_.debitLifetime);
}

void ShareLedger::setConfiguration(const ShareConfiguration &configuration, TimePoint now, bool isInForce)
{
    advance(now);
    const bool isConsecutive = versions_.add(configuration, isInForce);
    updateShares(now);
    if (isConsecutive) {
        return;
    }
    for (auto &[name, team] : teams_) {
        team.bucket.clear(refillTime(now));
    }
}

void ShareLedger::onInForce(std::int64_t version, TimePoint now)
{
    versions_.onInForce(version, now);
    advance(now);
}

void ShareLedger::setFreshUntil(TimePoint until, TimePoint now)
{
    // A host that was partitioned or paused uses outdated shares. If its buckets refilled meanwhile, it would return with tokens
    // that other hosts have been given since, and the team would get them twice.
    if (now > freshUntil_) {
        for (auto &[name, team] : teams_) {
            team.bucket.skipRefill(freshUntil_, now);
        }
    }
    freshUntil_ = until;
}

ShareDecision ShareLedger::admit(std::string_view team, double cost, std::uint64_t requestId, TimePoint now)
{
    advance(now);
    if (!isFresh(now)) {
        return refusal(requestId, ResultCode::NotFresh, "this host can't confirm its configuration", options_.homeBackoff);
    }
    Team *found = findTeam(team);
    if (found == nullptr || found->split.homes.empty()) {
        return refusal(requestId, ResultCode::UnknownKey, "the team is not in service");
    }
    if (!(cost >= 0 && cost <= found->split.burst + tokenTolerance)) {
        return refusal(requestId, ResultCode::ExceedsBurst, "the request costs more than the team's whole burst");
    }
    if (pendingRequests_.size() >= options_.maxPending || pendingRequests_.contains(requestId) || charges_.contains(requestId)) {
        return refusal(requestId, ResultCode::Overloaded, "too many requests wait for shares", options_.roundTimeout);
    }
    const bool skipsLocal = hasFullerHome(*found, cost, now);
    if (!skipsLocal && found->bucket.consume(cost, now)) {
        charges_[requestId] = {std::string(team), cost, {Debit{{}, {}, 0, cost}}};
        ShareDecision decision;
        decision.verdict = ShareVerdict::Admit;
        decision.requestId = requestId;
        return decision;
    }
    PendingRequest pending;
    pending.team = team;
    pending.cost = cost;
    pending.skipsLocal = skipsLocal;
    pending.finalDeadline = now + options_.gatherTimeout;
    return startNextRound(pendingRequests_.emplace(requestId, std::move(pending)).first, now);
}

DebitReply ShareLedger::onDebitRequest(const DebitRequest &request, TimePoint now)
{
    advance(now);
    expireRecords(now);
    DebitReply reply{host_, incarnation_, request.from, request.fromIncarnation, request.debitId, request.team, 0, 0, 0};
    Team *team = findTeam(request.team);
    if (!isFresh(now) || team == nullptr || request.to != host_ || !std::isfinite(request.amount)) {
        return reply;
    }
    RecordKey key{request.from, request.fromIncarnation, request.debitId};
    const auto existing = records_.find(key);
    if (existing != records_.end()) {
        reply.granted = existing->second.amount;
    } else if (records_.size() < options_.maxRecords) {
        const std::uint64_t reservation = ++lastId_;
        reply.granted = team->bucket.reserve(request.amount, now + options_.debitLifetime, reservation, now);
        records_.emplace(key, Record{request.team, reply.granted, reservation});
        recordExpiries_.push_back({now + options_.recordLifetime, std::move(key)});
    }
    reply.balance = team->bucket.level(now);
    reply.reserved = team->bucket.reserved();
    return reply;
}

ShareDecision ShareLedger::onDebitReply(const DebitReply &reply, TimePoint now)
{
    advance(now);
    const bool isFinite = std::isfinite(reply.granted) && std::isfinite(reply.balance) && std::isfinite(reply.reserved);
    if (reply.toIncarnation != incarnation_ || reply.to != host_ || !isFinite) {
        return {};
    }
    const auto entry = pendingDebits_.find(reply.debitId);
    if (entry == pendingDebits_.end()) {
        return onLateReply(reply, now);
    }
    const PendingDebit pendingDebit = std::move(entry->second);
    pendingDebits_.erase(entry);
    if (ShareHint *hint = findHint(pendingDebit); hint != nullptr) {
        hint->onReply(pendingDebit.amount, reply.balance, reply.reserved, now + options_.debitLifetime, now);
    }
    const auto pending = pendingRequests_.find(pendingDebit.requestId);
    std::erase(pending->second.pendingDebitIds, reply.debitId);
    const double granted = std::clamp(reply.granted, 0.0, pendingDebit.amount);
    if (granted > 0) {
        pending->second.debits.push_back({pendingDebit.home, reply.fromIncarnation, reply.debitId, granted});
        pending->second.collected += granted;
    }
    const bool isCovered = pending->second.collected + tokenTolerance >= pending->second.cost;
    if (isCovered || now > pending->second.finalDeadline) {
        return complete(pending, now);
    }
    if (!pending->second.pendingDebitIds.empty()) {
        return {};
    }
    return startNextRound(pending, now);
}

ShareDecision ShareLedger::onTimeout(std::uint64_t requestId, TimePoint now)
{
    advance(now);
    const auto pending = pendingRequests_.find(requestId);
    // The timer of an earlier round may fire during a later one, whose homes must not count as timed out.
    if (pending == pendingRequests_.end() || now < pending->second.deadline) {
        return {};
    }
    for (const std::uint64_t debitId : pending->second.pendingDebitIds) {
        if (ShareHint *hint = findHint(pendingDebits_.at(debitId)); hint != nullptr) {
            hint->onTimeout(options_.homeBackoff, now);
        }
    }
    abandonPendingDebits(pending->second, now);
    if (now >= pending->second.finalDeadline) {
        return complete(pending, now);
    }
    return startNextRound(pending, now);
}

ShareDecision ShareLedger::cancel(std::uint64_t requestId, TimePoint now)
{
    const auto pending = pendingRequests_.find(requestId);
    if (pending == pendingRequests_.end()) {
        return {};
    }
    return refusePending(pending, {ResultCode::CallerGone, "the caller hung up"}, now);
}

std::vector<DebitSettlement> ShareLedger::settle(std::uint64_t requestId, double used, TimePoint now)
{
    advance(now);
    std::vector<DebitSettlement> messages;
    const auto found = charges_.find(requestId);
    if (found == charges_.end()) {
        return messages;
    }
    const Charge charge = std::move(found->second);
    charges_.erase(found);
    Team *team = findTeam(charge.team);
    for (const Debit &debit : charge.debits) {
        const double part = charge.total > 0 ? std::max(used, 0.0) * debit.amount / charge.total : 0;
        if (!debit.home.empty()) {
            messages.push_back(makeSettlement(debit, true, part));
        } else if (team != nullptr) {
            settleLocal(*team, debit.amount, part, now);
        }
    }
    return messages;
}

void ShareLedger::onSettlement(const DebitSettlement &settlement, TimePoint now)
{
    advance(now);
    if (settlement.to != host_ || settlement.toIncarnation != incarnation_ || !std::isfinite(settlement.used)) {
        return;
    }
    // The first settlement removes the record: a duplicate would refund twice and create tokens.
    const auto found = records_.find({settlement.from, settlement.fromIncarnation, settlement.debitId});
    if (found == records_.end()) {
        return;
    }
    const Record record = std::move(found->second);
    records_.erase(found);
    Team *team = findTeam(record.team);
    if (team == nullptr) {
        return;
    }
    if (!settlement.isUsed) {
        team->bucket.release(record.reservation, refillTime(now));
        return;
    }
    team->bucket.commit(record.reservation, refillTime(now));
    settleLocal(*team, record.amount, settlement.used, now);
}

double ShareLedger::balance(std::string_view team, TimePoint now)
{
    advance(now);
    Team *found = findTeam(team);
    return found == nullptr ? 0 : found->bucket.level(refillTime(now));
}

bool ShareLedger::isFresh(TimePoint now) const
{
    return now < freshUntil_;
}

TimePoint ShareLedger::refillTime(TimePoint now) const
{
    return std::min(now, freshUntil_);
}

void ShareLedger::advance(TimePoint now)
{
    if (versions_.advance(now)) {
        updateShares(now);
    }
}

void ShareLedger::updateShares(TimePoint now)
{
    const std::vector<std::string> names = versions_.teams();
    for (const std::string &name : names) {
        updateTeam(name, now);
    }
    for (auto &[name, team] : teams_) {
        if (!std::binary_search(names.begin(), names.end(), name)) {
            team.split = {};
            team.bucket.setLimits(0, 0, refillTime(now));
        }
    }
}

void ShareLedger::updateTeam(const std::string &name, TimePoint now)
{
    const auto split = versions_.split(name);
    if (!split) {
        return;
    }
    auto found = teams_.find(name);
    if (found == teams_.end()) {
        found = teams_.emplace(name, Team{ShareBucket(std::max(refillStart_, now)), {}, {}}).first;
    }
    Team &team = found->second;
    team.split = *split;
    // A process that has just started may hold a version that others do not know yet, without the older version that is still in
    // force. Tokens spent by the newer version alone could exceed the total together with the shares of the others.
    const HomeShare own = versions_.hasVersionInForce() ? team.split.shareOf(host_) : HomeShare{};
    team.bucket.setLimits(own.rate, own.burst, refillTime(now));
    std::erase_if(team.hints, [&split](const auto &hint) { return split->shareOf(hint.first).burst <= 0; });
    for (const HomeShare &home : team.split.homes) {
        if (home.host != host_ && home.burst > 0) {
            team.hints[home.host].setLimits(home.rate, home.burst);
        }
    }
}

void ShareLedger::expireRecords(TimePoint now)
{
    while (!recordExpiries_.empty() && recordExpiries_.front().expiresAt <= now) {
        records_.erase(recordExpiries_.front().key);
        recordExpiries_.pop_front();
    }
}

ShareLedger::Team *ShareLedger::findTeam(std::string_view name)
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : &found->second;
}

ShareHint *ShareLedger::findHint(const PendingDebit &pendingDebit)
{
    Team *team = findTeam(pendingDebit.team);
    if (team == nullptr) {
        return nullptr;
    }
    const auto found = team->hints.find(pendingDebit.home);
    return found == team->hints.end() ? nullptr : &found->second;
}

ShareDecision ShareLedger::startNextRound(PendingRequests::iterator pending, TimePoint now)
{
    PendingRequest &state = pending->second;
    Team *team = findTeam(state.team);
    if (!isFresh(now) || team == nullptr || state.rounds >= maxRounds) {
        return complete(pending, now);
    }
    ++state.rounds;
    if (!std::exchange(state.skipsLocal, false)) {
        reserveLocal(*team, state, now);
    }
    if (state.collected + tokenTolerance >= state.cost) {
        return complete(pending, now);
    }
    ShareDecision decision;
    decision.requestId = pending->first;
    decision.debitRequests = planDebitRequests(*team, pending, now);
    if (decision.debitRequests.empty()) {
        return complete(pending, now);
    }
    decision.verdict = ShareVerdict::Pending;
    state.deadline = std::min(now + options_.roundTimeout, state.finalDeadline);
    decision.deadline = state.deadline;
    return decision;
}

bool ShareLedger::hasFullerHome(Team &team, double cost, TimePoint now) const
{
    // When most requests of a team arrive at one host, its own share would always be spent first while the buckets of the other homes
    // overflow, so that the team would have less than its burst when it needs it.
    if (team.bucket.level(now) - cost > minLocalFill * team.bucket.burst()) {
        return false;
    }
    return std::any_of(team.hints.begin(), team.hints.end(), [=](const auto &hint) {
        const double estimate = hint.second.estimate(now);
        return !hint.second.isSuspect() && estimate >= cost && estimate >= nearlyFull * hint.second.burst();
    });
}

void ShareLedger::reserveLocal(Team &team, PendingRequest &pending, TimePoint now)
{
    const std::uint64_t reservation = ++lastId_;
    const double own = team.bucket.reserve(pending.cost - pending.collected, now + options_.debitLifetime, reservation, now);
    if (own > 0) {
        pending.debits.push_back({{}, {}, reservation, own});
        pending.collected += own;
    }
}

std::vector<ShareLedger::Candidate> ShareLedger::candidates(Team &team, TimePoint now) const
{
    std::vector<Candidate> list;
    for (auto &[home, hint] : team.hints) {
        const double upperBound = hint.upperBound(now, options_.maxEstimateAge);
        if (upperBound > tokenTolerance) {
            const double estimate = std::min(hint.estimate(now), upperBound);
            list.push_back({&hint, home, estimate, upperBound, estimate * (1 - estimateJitter * jitter(home, lastId_))});
        }
    }
    std::sort(list.begin(), list.end(), [](const Candidate &left, const Candidate &right) {
        return std::make_tuple(left.hint->isSuspect(), -left.preference) < std::make_tuple(right.hint->isSuspect(), -right.preference);
    });
    return list;
}

std::vector<DebitRequest> ShareLedger::planDebitRequests(Team &team, PendingRequests::iterator pending, TimePoint now)
{
    const std::vector<Candidate> list = candidates(team, now);
    double maxAvailable = 0;
    for (const Candidate &candidate : list) {
        maxAvailable += candidate.upperBound;
    }
    double shortage = pending->second.cost - pending->second.collected;
    // For a team far over its rate, asking homes that have just reported to be empty would cost each request a round of messages to
    // every home without any gain.
    if (maxAvailable + tokenTolerance < shortage) {
        return {};
    }
    std::vector<DebitRequest> debitRequests;
    std::vector<double> amounts(list.size(), 0.0);
    for (std::size_t i = 0; i < list.size(); ++i) {
        amounts[i] = std::min(list[i].estimate, shortage);
        shortage -= amounts[i];
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        const double more = std::min(list[i].upperBound - amounts[i], shortage);
        shortage -= more;
        const double amount = amounts[i] + more;
        if (amount > tokenTolerance) {
            debitRequests.push_back(makeDebitRequest(list[i], pending, amount));
        }
    }
    return debitRequests;
}

DebitRequest ShareLedger::makeDebitRequest(const Candidate &candidate, PendingRequests::iterator pending, double amount)
{
    const std::uint64_t debitId = ++lastId_;
    candidate.hint->onRequested(amount);
    pendingDebits_.emplace(debitId, PendingDebit{pending->first, candidate.home, pending->second.team, amount});
    pending->second.pendingDebitIds.push_back(debitId);
    return {host_, incarnation_, candidate.home, debitId, pending->second.team, amount};
}

ShareDecision ShareLedger::complete(PendingRequests::iterator pending, TimePoint now)
{
    PendingRequest &state = pending->second;
    Team *team = findTeam(state.team);
    if (!isFresh(now) || team == nullptr) {
        return refusePending(pending, {ResultCode::NotFresh, "this host can't confirm its configuration"}, now);
    }
    // A host that was paused while the replies arrived may act long after its requests, when the homes have refilled what they
    // granted: a burst would pass twice. The final deadline counts from the first request and is within the debit lifetime.
    const bool isInTime = now < state.finalDeadline;
    if (!isInTime || state.collected + tokenTolerance < state.cost) {
        return refusePending(pending, {ResultCode::OverRate, "the team has spent its rate and burst"}, now);
    }
    for (const Debit &debit : state.debits) {
        if (debit.home.empty()) {
            team->bucket.commit(debit.id, now);
        }
    }
    ShareDecision decision;
    decision.verdict = ShareVerdict::Admit;
    decision.requestId = pending->first;
    abandonPendingDebits(state, now);
    charges_[pending->first] = {state.team, state.collected, std::move(state.debits)};
    pendingRequests_.erase(pending);
    return decision;
}

ShareDecision ShareLedger::refusePending(PendingRequests::iterator pending, Reason reason, TimePoint now)
{
    const std::string team = pending->second.team;
    const double cost = pending->second.cost;
    ShareDecision decision = refusal(pending->first, reason.code, std::move(reason.text), options_.homeBackoff);
    decision.settlements = abandon(pending, now);
    if (decision.reason.code != ResultCode::OverRate) {
        return decision;
    }
    return refuseOverRate(team, cost, std::move(decision), now);
}

std::vector<DebitSettlement> ShareLedger::abandon(PendingRequests::iterator pending, TimePoint now)
{
    std::vector<DebitSettlement> settlements;
    Team *team = findTeam(pending->second.team);
    for (const Debit &debit : pending->second.debits) {
        if (debit.home.empty() && team != nullptr) {
            team->bucket.release(debit.id, refillTime(now));
        }
        if (debit.home.empty()) {
            continue;
        }
        settlements.push_back(makeSettlement(debit, false, 0));
        if (ShareHint *hint = findHint({0, debit.home, pending->second.team, 0}); hint != nullptr) {
            hint->onReturned(debit.amount);
        }
    }
    abandonPendingDebits(pending->second, now);
    pendingRequests_.erase(pending);
    return settlements;
}

void ShareLedger::abandonPendingDebits(PendingRequest &pending, TimePoint now)
{
    while (!abandonedExpiries_.empty() && abandonedExpiries_.front().expiresAt <= now) {
        abandonedDebits_.erase(abandonedExpiries_.front().debitId);
        abandonedExpiries_.pop_front();
    }
    for (const std::uint64_t debitId : pending.pendingDebitIds) {
        if (ShareHint *hint = findHint(pendingDebits_.at(debitId)); hint != nullptr) {
            hint->onRequestAbandoned(pendingDebits_.at(debitId).amount);
        }
        abandonedDebits_.insert(pendingDebits_.extract(debitId));
        abandonedExpiries_.push_back({now + options_.debitLifetime, debitId});
    }
    pending.pendingDebitIds.clear();
}

ShareDecision ShareLedger::onLateReply(const DebitReply &reply, TimePoint now)
{
    // Only a debit that was certainly not used is returned: a duplicate reply to a used debit has no entry here.
    ShareDecision decision;
    const auto found = abandonedDebits_.find(reply.debitId);
    if (found == abandonedDebits_.end()) {
        return decision;
    }
    if (ShareHint *hint = findHint(found->second); hint != nullptr) {
        hint->onReply(0, reply.balance, reply.reserved, now + options_.debitLifetime, now);
        hint->onReturned(std::max(reply.granted, 0.0));
    }
    abandonedDebits_.erase(found);
    if (reply.granted > 0) {
        decision.settlements.push_back(makeSettlement({reply.from, reply.fromIncarnation, reply.debitId, reply.granted}, false, 0));
    }
    return decision;
}

ShareDecision ShareLedger::refuseOverRate(std::string_view team, double cost, ShareDecision decision, TimePoint now)
{
    Team *found = findTeam(team);
    double totalBurst = found->bucket.burst();
    double reachableBurst = totalBurst;
    for (const auto &[home, hint] : found->hints) {
        totalBurst += hint.burst();
        reachableBurst += hint.isInBackoff(now) ? 0 : hint.burst();
    }
    if (totalBurst + tokenTolerance < cost) {
        decision.retryAfter = options_.growDelay;
        return decision;
    }
    if (reachableBurst + tokenTolerance < cost) {
        decision.reason = {ResultCode::PeerUnreachable, "hosts that hold a part of the team's burst do not answer"};
        return decision;
    }
    decision.retryAfter = std::max(timeToRefill(*found, cost, now), minRetryAfter);
    return decision;
}

Duration ShareLedger::timeToRefill(Team &team, double cost, TimePoint now) const
{
    const double own = team.bucket.level(now);
    const auto total = [&](double seconds) {
        double sum = std::min(own + team.bucket.rate() * seconds, team.bucket.burst());
        for (const auto &[home, hint] : team.hints) {
            sum += hint.isInBackoff(now) ? 0 : hint.estimate(now + fromSeconds(seconds));
        }
        return sum;
    };
    double low = 0;
    double high = team.split.rate > 0 ? (team.split.burst + std::max(-own, 0.0)) * static_cast<double>(team.split.homes.size()) / team.split.rate : 0;
    high += toSeconds(options_.debitLifetime);
    for (int step = 0; step < refillSearchSteps; ++step) {
        const double middle = (low + high) / 2;
        (total(middle) + tokenTolerance < cost ? low : high) = middle;
    }
    return fromSeconds(high);
}

DebitSettlement ShareLedger::makeSettlement(const Debit &debit, bool isUsed, double used) const
{
    return {host_, incarnation_, debit.home, debit.homeIncarnation, debit.id, isUsed, used};
}

void ShareLedger::settleLocal(Team &team, double charged, double used, TimePoint now) const
{
    if (used < charged) {
        team.bucket.refund(charged - used, refillTime(now));
    } else {
        team.bucket.charge(used - charged, refillTime(now));
    }
}

} // namespace Lovageloft
