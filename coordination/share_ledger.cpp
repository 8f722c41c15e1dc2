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

/// Each round asks the home believed to be fullest, and its reply corrects the belief: with up to 12 homes about as many
/// rounds find all that there is. With 3 rounds 2.6% of a team's tokens were refused inside its rate, with 10 under half of that.
constexpr int mostRounds = 10;

/// A request that would leave less than `ownKept` of this host's burst goes to a home that is full to `overflowing` of its
/// own, if there is one: it costs the request a round trip and saves the team the refill that the full home would lose.
constexpr double ownKept = 0.5;
constexpr double overflowing = 0.9;

/// Beliefs about homes are lowered by up to this part, at random, before the fullest is chosen. Without that all hosts
/// that have heard nothing for a while ask the same home, the first by name, and the others overflow.
constexpr double beliefSpread = 0.2;

/// A number from 0 to 1 that differs from home to home and from question to question.
double spread(std::string_view home, std::uint64_t id)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(XXH3_64bits_withSeed(home.data(), home.size(), id)) / range;
}

constexpr Duration leastRetryAfter = std::chrono::milliseconds(1);

/// Halvings of the span searched for the time of a refill: to a millionth of it.
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
    options_.gatherLimit = std::min(options_.gatherLimit, options_.debitLifetime);
}

void ShareLedger::setConfiguration(const ShareConfiguration &configuration, TimePoint now, bool isInForce)
{
    advance(now);
    const bool isNext = versions_.add(configuration, isInForce);
    updateShares(now);
    if (isNext) {
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
    // A host cut off or paused works by old shares. Were it to refill meanwhile, it would come back with tokens
    // that others have long been given, and the team would get them twice.
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
        return refusal(requestId, ResultCode::NotFresh, "this host can't confirm its configuration", options_.silence);
    }
    Team *found = findTeam(team);
    if (found == nullptr || found->split.homes.empty()) {
        return refusal(requestId, ResultCode::UnknownKey, "the team is not in service");
    }
    if (!(cost >= 0 && cost <= found->split.burst + tokenTolerance)) {
        return refusal(requestId, ResultCode::ExceedsBurst, "the request costs more than the team's whole burst");
    }
    if (gathers_.size() >= options_.mostPending || gathers_.contains(requestId) || charges_.contains(requestId)) {
        return refusal(requestId, ResultCode::Overloaded, "too many requests wait for shares", options_.askTimeout);
    }
    const bool sparesOwn = isFullerElsewhere(*found, cost, now);
    if (!sparesOwn && found->bucket.take(cost, now)) {
        charges_[requestId] = {std::string(team), cost, {Piece{{}, {}, 0, cost}}};
        ShareDecision decision;
        decision.verdict = ShareVerdict::Admit;
        decision.requestId = requestId;
        return decision;
    }
    Gather gather;
    gather.team = team;
    gather.cost = cost;
    gather.sparesOwn = sparesOwn;
    gather.limit = now + options_.gatherLimit;
    return nextRound(gathers_.emplace(requestId, std::move(gather)).first, now);
}

DebitReply ShareLedger::onDebitRequest(const DebitRequest &request, TimePoint now)
{
    advance(now);
    forgetOldRecords(now);
    DebitReply reply{host_, incarnation_, request.from, request.fromIncarnation, request.askId, request.team, 0, 0, 0};
    Team *team = findTeam(request.team);
    if (!isFresh(now) || team == nullptr || request.to != host_ || !std::isfinite(request.amount)) {
        return reply;
    }
    RecordKey key{request.from, request.fromIncarnation, request.askId};
    const auto known = records_.find(key);
    if (known != records_.end()) {
        reply.granted = known->second.amount;
    } else if (records_.size() < options_.mostRecords) {
        const std::uint64_t reservation = ++lastId_;
        reply.granted = team->bucket.reserve(request.amount, now + options_.debitLifetime, reservation, now);
        records_.emplace(key, Record{request.team, reply.granted, reservation});
        agedRecords_.push_back({now + options_.recordLifetime, std::move(key)});
    }
    reply.balance = team->bucket.level(now);
    reply.reserved = team->bucket.reserved();
    return reply;
}

ShareDecision ShareLedger::onDebitReply(const DebitReply &reply, TimePoint now)
{
    advance(now);
    const bool isSound = std::isfinite(reply.granted) && std::isfinite(reply.balance) && std::isfinite(reply.reserved);
    if (reply.toIncarnation != incarnation_ || reply.to != host_ || !isSound) {
        return {};
    }
    const auto open = openAsks_.find(reply.askId);
    if (open == openAsks_.end()) {
        return onAbandonedReply(reply, now);
    }
    const OpenAsk ask = std::move(open->second);
    openAsks_.erase(open);
    if (ShareHint *hint = findHint(ask); hint != nullptr) {
        hint->onReply(ask.amount, reply.balance, reply.reserved, now + options_.debitLifetime, now);
    }
    const auto gather = gathers_.find(ask.requestId);
    std::erase(gather->second.openAsks, reply.askId);
    const double granted = std::clamp(reply.granted, 0.0, ask.amount);
    if (granted > 0) {
        gather->second.pieces.push_back({ask.home, reply.fromIncarnation, reply.askId, granted});
        gather->second.collected += granted;
    }
    const bool isEnough = gather->second.collected + tokenTolerance >= gather->second.cost;
    if (isEnough || now > gather->second.limit) {
        return complete(gather, now);
    }
    if (!gather->second.openAsks.empty()) {
        return {};
    }
    return nextRound(gather, now);
}

ShareDecision ShareLedger::onTimeout(std::uint64_t requestId, TimePoint now)
{
    advance(now);
    const auto gather = gathers_.find(requestId);
    // The timer of an earlier round goes off during a later one, whose homes would be taken for silent.
    if (gather == gathers_.end() || now < gather->second.deadline) {
        return {};
    }
    for (const std::uint64_t askId : gather->second.openAsks) {
        if (ShareHint *hint = findHint(openAsks_.at(askId)); hint != nullptr) {
            hint->onTimeout(options_.silence, now);
        }
    }
    abandonAsks(gather->second, now);
    if (now >= gather->second.limit) {
        return complete(gather, now);
    }
    return nextRound(gather, now);
}

ShareDecision ShareLedger::cancel(std::uint64_t requestId, TimePoint now)
{
    const auto gather = gathers_.find(requestId);
    if (gather == gathers_.end()) {
        return {};
    }
    return giveUp(gather, {ResultCode::CallerGone, "the caller hung up"}, now);
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
    for (const Piece &piece : charge.pieces) {
        const double part = charge.total > 0 ? std::max(used, 0.0) * piece.amount / charge.total : 0;
        if (!piece.home.empty()) {
            messages.push_back(makeSettlement(piece, true, part));
        } else if (team != nullptr) {
            settleLocal(*team, piece.amount, part, now);
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
    // The record goes with the first settlement: a doubled one would refund twice and make tokens.
    const auto found = records_.find({settlement.from, settlement.fromIncarnation, settlement.askId});
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
        team->bucket.giveBack(record.reservation, refillTime(now));
        return;
    }
    team->bucket.use(record.reservation, refillTime(now));
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
    // A process that has just started may hold a version that others don't know yet, without the older one that still
    // binds it: what it spent by the newer one alone could come on top of the others' parts.
    const HomeShare own = versions_.isSafe() ? team.split.shareOf(host_) : HomeShare{};
    team.bucket.setLimits(own.rate, own.burst, refillTime(now));
    std::erase_if(team.hints, [&split](const auto &hint) { return split->shareOf(hint.first).burst <= 0; });
    for (const HomeShare &home : team.split.homes) {
        if (home.host != host_ && home.burst > 0) {
            team.hints[home.host].setLimits(home.rate, home.burst);
        }
    }
}

void ShareLedger::forgetOldRecords(TimePoint now)
{
    while (!agedRecords_.empty() && agedRecords_.front().end <= now) {
        records_.erase(agedRecords_.front().key);
        agedRecords_.pop_front();
    }
}

ShareLedger::Team *ShareLedger::findTeam(std::string_view name)
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : &found->second;
}

ShareHint *ShareLedger::findHint(const OpenAsk &ask)
{
    Team *team = findTeam(ask.team);
    if (team == nullptr) {
        return nullptr;
    }
    const auto found = team->hints.find(ask.home);
    return found == team->hints.end() ? nullptr : &found->second;
}

ShareDecision ShareLedger::nextRound(Gathers::iterator gather, TimePoint now)
{
    Gather &state = gather->second;
    Team *team = findTeam(state.team);
    if (!isFresh(now) || team == nullptr || state.rounds >= mostRounds) {
        return complete(gather, now);
    }
    ++state.rounds;
    if (!std::exchange(state.sparesOwn, false)) {
        reserveOwn(*team, state, now);
    }
    if (state.collected + tokenTolerance >= state.cost) {
        return complete(gather, now);
    }
    ShareDecision decision;
    decision.requestId = gather->first;
    decision.asks = planAsks(*team, gather, now);
    if (decision.asks.empty()) {
        return complete(gather, now);
    }
    decision.verdict = ShareVerdict::Ask;
    state.deadline = std::min(now + options_.askTimeout, state.limit);
    decision.deadline = state.deadline;
    return decision;
}

bool ShareLedger::isFullerElsewhere(Team &team, double cost, TimePoint now) const
{
    // Load: most of a team's requests at one host. Its own part would always be spent first and the others' would
    // overflow meanwhile, so that the team has less than its burst when it needs it.
    if (team.bucket.level(now) - cost > ownKept * team.bucket.burst()) {
        return false;
    }
    return std::any_of(team.hints.begin(), team.hints.end(), [=](const auto &hint) {
        const double estimate = hint.second.estimate(now);
        return !hint.second.isSuspect() && estimate >= cost && estimate >= overflowing * hint.second.burst();
    });
}

void ShareLedger::reserveOwn(Team &team, Gather &gather, TimePoint now)
{
    const std::uint64_t reservation = ++lastId_;
    const double own = team.bucket.reserve(gather.cost - gather.collected, now + options_.debitLifetime, reservation, now);
    if (own > 0) {
        gather.pieces.push_back({{}, {}, reservation, own});
        gather.collected += own;
    }
}

std::vector<ShareLedger::Candidate> ShareLedger::candidates(Team &team, TimePoint now) const
{
    std::vector<Candidate> list;
    for (auto &[home, hint] : team.hints) {
        const double greatest = hint.greatest(now, options_.hintAge);
        if (greatest > tokenTolerance) {
            const double estimate = std::min(hint.estimate(now), greatest);
            list.push_back({&hint, home, estimate, greatest, estimate * (1 - beliefSpread * spread(home, lastId_))});
        }
    }
    std::sort(list.begin(), list.end(), [](const Candidate &left, const Candidate &right) {
        return std::make_tuple(left.hint->isSuspect(), -left.preference) < std::make_tuple(right.hint->isSuspect(), -right.preference);
    });
    return list;
}

std::vector<DebitRequest> ShareLedger::planAsks(Team &team, Gathers::iterator gather, TimePoint now)
{
    const std::vector<Candidate> list = candidates(team, now);
    double possible = 0;
    for (const Candidate &candidate : list) {
        possible += candidate.greatest;
    }
    double shortage = gather->second.cost - gather->second.collected;
    // Load: a team far over its rate. Asking homes that have just said that they are empty would cost each of its
    // requests a round of messages to every home and win nothing.
    if (possible + tokenTolerance < shortage) {
        return {};
    }
    std::vector<DebitRequest> asks;
    std::vector<double> amounts(list.size(), 0.0);
    for (std::size_t i = 0; i < list.size(); ++i) {
        amounts[i] = std::min(list[i].estimate, shortage);
        shortage -= amounts[i];
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        const double more = std::min(list[i].greatest - amounts[i], shortage);
        shortage -= more;
        const double amount = amounts[i] + more;
        if (amount > tokenTolerance) {
            asks.push_back(makeAsk(list[i], gather, amount));
        }
    }
    return asks;
}

DebitRequest ShareLedger::makeAsk(const Candidate &candidate, Gathers::iterator gather, double amount)
{
    const std::uint64_t askId = ++lastId_;
    candidate.hint->onAsked(amount);
    openAsks_.emplace(askId, OpenAsk{gather->first, candidate.home, gather->second.team, amount});
    gather->second.openAsks.push_back(askId);
    return {host_, incarnation_, candidate.home, askId, gather->second.team, amount};
}

ShareDecision ShareLedger::complete(Gathers::iterator gather, TimePoint now)
{
    Gather &state = gather->second;
    Team *team = findTeam(state.team);
    if (!isFresh(now) || team == nullptr) {
        return giveUp(gather, {ResultCode::NotFresh, "this host can't confirm its configuration"}, now);
    }
    // A host paused while the answers came may act long after it asked, when the homes have refilled what they
    // gave: a burst would pass twice. The limit counts from the first question and is within the debits' lifetime.
    const bool isInTime = now < state.limit;
    if (!isInTime || state.collected + tokenTolerance < state.cost) {
        return giveUp(gather, {ResultCode::OverRate, "the team has spent its rate and burst"}, now);
    }
    for (const Piece &piece : state.pieces) {
        if (piece.home.empty()) {
            team->bucket.use(piece.id, now);
        }
    }
    ShareDecision decision;
    decision.verdict = ShareVerdict::Admit;
    decision.requestId = gather->first;
    abandonAsks(state, now);
    charges_[gather->first] = {state.team, state.collected, std::move(state.pieces)};
    gathers_.erase(gather);
    return decision;
}

ShareDecision ShareLedger::giveUp(Gathers::iterator gather, Reason reason, TimePoint now)
{
    const std::string team = gather->second.team;
    const double cost = gather->second.cost;
    ShareDecision decision = refusal(gather->first, reason.code, std::move(reason.text), options_.silence);
    decision.returns = abandon(gather, now);
    if (decision.reason.code != ResultCode::OverRate) {
        return decision;
    }
    return refuseOverRate(team, cost, std::move(decision), now);
}

std::vector<DebitSettlement> ShareLedger::abandon(Gathers::iterator gather, TimePoint now)
{
    std::vector<DebitSettlement> returns;
    Team *team = findTeam(gather->second.team);
    for (const Piece &piece : gather->second.pieces) {
        if (piece.home.empty() && team != nullptr) {
            team->bucket.giveBack(piece.id, refillTime(now));
        }
        if (piece.home.empty()) {
            continue;
        }
        returns.push_back(makeSettlement(piece, false, 0));
        if (ShareHint *hint = findHint({0, piece.home, gather->second.team, 0}); hint != nullptr) {
            hint->onReturned(piece.amount);
        }
    }
    abandonAsks(gather->second, now);
    gathers_.erase(gather);
    return returns;
}

void ShareLedger::abandonAsks(Gather &gather, TimePoint now)
{
    while (!agedAsks_.empty() && agedAsks_.front().end <= now) {
        abandonedAsks_.erase(agedAsks_.front().askId);
        agedAsks_.pop_front();
    }
    for (const std::uint64_t askId : gather.openAsks) {
        if (ShareHint *hint = findHint(openAsks_.at(askId)); hint != nullptr) {
            hint->onUnanswered(openAsks_.at(askId).amount);
        }
        abandonedAsks_.insert(openAsks_.extract(askId));
        agedAsks_.push_back({now + options_.debitLifetime, askId});
    }
    gather.openAsks.clear();
}

ShareDecision ShareLedger::onAbandonedReply(const DebitReply &reply, TimePoint now)
{
    // Only a debit that was surely never used goes back: a doubled answer to one that was used finds nothing here.
    ShareDecision decision;
    const auto found = abandonedAsks_.find(reply.askId);
    if (found == abandonedAsks_.end()) {
        return decision;
    }
    if (ShareHint *hint = findHint(found->second); hint != nullptr) {
        hint->onReply(0, reply.balance, reply.reserved, now + options_.debitLifetime, now);
        hint->onReturned(std::max(reply.granted, 0.0));
    }
    abandonedAsks_.erase(found);
    if (reply.granted > 0) {
        decision.returns.push_back(makeSettlement({reply.from, reply.fromIncarnation, reply.askId, reply.granted}, false, 0));
    }
    return decision;
}

ShareDecision ShareLedger::refuseOverRate(std::string_view team, double cost, ShareDecision decision, TimePoint now)
{
    Team *found = findTeam(team);
    double whole = found->bucket.burst();
    double reachable = whole;
    for (const auto &[home, hint] : found->hints) {
        whole += hint.burst();
        reachable += hint.isSilent(now) ? 0 : hint.burst();
    }
    if (whole + tokenTolerance < cost) {
        decision.retryAfter = options_.growDelay;
        return decision;
    }
    if (reachable + tokenTolerance < cost) {
        decision.reason = {ResultCode::PeerUnreachable, "hosts that hold a part of the team's burst do not answer"};
        return decision;
    }
    decision.retryAfter = std::max(timeToRefill(*found, cost, now), leastRetryAfter);
    return decision;
}

Duration ShareLedger::timeToRefill(Team &team, double cost, TimePoint now) const
{
    const double own = team.bucket.level(now);
    const auto total = [&](double seconds) {
        double sum = std::min(own + team.bucket.rate() * seconds, team.bucket.burst());
        for (const auto &[home, hint] : team.hints) {
            sum += hint.isSilent(now) ? 0 : hint.estimate(now + fromSeconds(seconds));
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

DebitSettlement ShareLedger::makeSettlement(const Piece &piece, bool isUsed, double used) const
{
    return {host_, incarnation_, piece.home, piece.homeIncarnation, piece.id, isUsed, used};
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
