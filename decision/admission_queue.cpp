#include "decision/admission_queue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lovageloft
{

namespace
{

// A cost above the longest context in use is an error of the estimate; unbounded it would put its team in debt for hours.
constexpr std::int64_t mostCost = 4'194'304;

// What part of its longest wait a request may expect when it first comes. The rest is kept for callers that come back when
// they were told, and for estimates that prove too low: what is let in too eagerly ends as a late refusal.
constexpr double newcomerPart = 0.7;

// Below this part of the longest wait newcomers are let in whatever is reserved: reservations of callers that never
// return must not leave engines idle.
constexpr double lowWaterPart = 0.3;

// What the order of service alone says about a lane's share weighs as much as two seconds of watching it: enough to outweigh
// one long prompt of another team.
constexpr double backlogSeconds = 2;

// Over how many seconds of service a lane's share is remembered, as for the rate of the whole model.
constexpr double shareSeconds = 10;

// A share may lengthen the wait that the backlog promises by this factor at most, which means that half of the service goes to
// work not seen yet. One or two long prompts at the start of a burst can seem to say more.
constexpr double mostCorrection = 2;

// What competes with a lane is another matter this long after the last request waited.
constexpr Duration sharesStaleAfter = std::chrono::seconds(10);

// Returning callers are spaced this much wider than their lane drains. At exactly its pace any error of the estimate adds
// up in the queue until those who come back when told are refused again; newcomers use what is left over.
constexpr double reservationSpacing = 1.1;

// Another host behind the balancer can take the request at once, but the balancer needs a moment to see this one leave.
constexpr Duration drainingRetryAfter = std::chrono::seconds(1);

Duration part(Duration duration, double factor)
{
    return fromSeconds(toSeconds(duration) * factor);
}

Reason makeReason(ResultCode code)
{
    return {.code = code, .text = std::string(resultCodeInfo(code).meaning)};
}

} // namespace

AdmissionQueue::ModelQueue::ModelQueue(const QueueLimits &limits)
    : queue(limits.maxShortCost, limits.quantum)
    , estimate({.rate = limits.initialRate})
{
}

AdmissionQueue::AdmissionQueue(const QueueLimits &limits)
    : limits_(limits)
{
}

void AdmissionQueue::setWeight(TeamId team, double weight)
{
    weights_[team] = weight;
    for (auto &[id, model] : models_) {
        model.queue.setWeight(team, weight);
    }
}

void AdmissionQueue::scaleCapacity(ModelId model, double factor)
{
    modelQueue(model).estimate.scale(factor);
}

AdmissionDecision AdmissionQueue::offer(const QueuedRequest &request, TimePoint now)
{
    collectExpired(now);
    QueuedRequest clamped = request;
    clamped.cost = std::clamp<std::int64_t>(request.cost, 1, mostCost);
    clamped.deadline = std::min(request.deadline, now + limits_.maxWait);
    Offer offer = assess(clamped, now);
    applyReservations(offer);
    for (const Check check : checks()) {
        const ResultCode code = (this->*check)(offer);
        if (code != ResultCode::Ok) {
            return refuse(offer, code);
        }
    }
    if (offer.book) {
        offer.book->drop(clamped.fingerprint);
    }
    offer.model.queue.push(insert(clamped));
    return {.isAdmitted = true, .expectedWait = offer.wait, .reason = {}, .retryAfter = {}};
}

std::optional<QueuedRequest> AdmissionQueue::next(TimePoint now, const CanDispatch &canDispatch)
{
    collectExpired(now);
    for (std::size_t tried = 0; tried < order_.size(); ++tried) {
        nextModel_ = (nextModel_ + 1) % order_.size();
        ModelQueue &model = *order_[nextModel_];
        if (model.queue.size() == 0) {
            continue;
        }
        if (!canDispatch(model.queue.peek()->request)) {
            onBlocked(model, now);
            continue;
        }
        QueueEntry &entry = *model.queue.pop();
        model.estimate.onDispatched(entry.request.cost, now);
        afterRemoval(model, now);
        return forget(entry);
    }
    return std::nullopt;
}

void AdmissionQueue::requeue(const QueuedRequest &request, TimePoint now)
{
    if (entries_.contains(request.id)) {
        return;
    }
    ModelQueue &model = modelQueue(request.model);
    model.estimate.onRequeued(request.cost);
    model.queue.requeue(insert(request));
    collectExpired(now);
}

std::vector<ExpiredRequest> AdmissionQueue::expire(TimePoint now)
{
    collectExpired(now);
    return std::exchange(expired_, {});
}

std::optional<TimePoint> AdmissionQueue::nextDeadline() const
{
    // Other calls may have found expired requests first. Told of the next deadline only, the caller would let them wait
    // for their final answer until then.
    if (!expired_.empty()) {
        return expired_.front().request.deadline;
    }
    if (deadlines_.empty()) {
        return std::nullopt;
    }
    return deadlines_.begin()->request.deadline;
}

bool AdmissionQueue::cancel(RequestId id, TimePoint now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return false;
    }
    takeOut(found->second, now);
    return true;
}

std::vector<QueuedRequest> AdmissionQueue::removeIf(const std::function<bool(const QueuedRequest &)> &matches, TimePoint now)
{
    std::vector<QueuedRequest> removed;
    for (auto next = deadlines_.begin(); next != deadlines_.end();) {
        QueueEntry &entry = *next++;
        if (!matches(entry.request)) {
            continue;
        }
        removed.push_back(takeOut(entry, now));
    }
    return removed;
}

std::vector<QueuedRequest> AdmissionQueue::removeByKey(TeamId team, KeyId key, TimePoint now)
{
    return removeIf([team, key](const QueuedRequest &request) { return request.team == team && request.key == key; }, now);
}

void AdmissionQueue::drain()
{
    isDraining_ = true;
}

std::size_t AdmissionQueue::size() const
{
    return entries_.size();
}

std::size_t AdmissionQueue::size(TeamId team) const
{
    const auto found = teamSizes_.find(team);
    return found == teamSizes_.end() ? 0 : found->second;
}

std::int64_t AdmissionQueue::backlog(ModelId model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second.queue.backlog();
}

double AdmissionQueue::serviceRate(ModelId model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? limits_.initialRate : found->second.estimate.rate();
}

std::span<const AdmissionQueue::Check> AdmissionQueue::checks()
{
    static constexpr std::array<Check, 4> table = {
        &AdmissionQueue::checkDraining,
        &AdmissionQueue::checkId,
        &AdmissionQueue::checkMemory,
        &AdmissionQueue::checkWait,
    };
    return table;
}

ResultCode AdmissionQueue::checkDraining(const Offer & /*offer*/) const
{
    return isDraining_ ? ResultCode::Draining : ResultCode::Ok;
}

ResultCode AdmissionQueue::checkId(const Offer &offer) const
{
    return entries_.contains(offer.request.id) ? ResultCode::InvalidField : ResultCode::Ok;
}

// Made for a flood of short requests with distant deadlines, where the expected wait alone would let memory grow. The harm
// prevented is that one team fills the queue and the others are refused for it. A team may hold as many requests as are
// still free (a dynamic threshold): one flooding team gets half of the places, two get a third each, and some always stay
// free for a team that has none.
ResultCode AdmissionQueue::checkMemory(const Offer &offer) const
{
    const std::size_t free = limits_.maxRequests - std::min(limits_.maxRequests, entries_.size());
    return size(offer.request.team) < free ? ResultCode::Ok : ResultCode::Overloaded;
}

// Made for demand above what the engines do. The harm prevented is work that waits, is given up and then sent again: the
// caller loses its deadline and can't go elsewhere in time. Newcomers leave room for callers that were told to come now, and
// those are judged by the order of service alone: a lane that stood still behind one long prompt would turn them away.
ResultCode AdmissionQueue::checkWait(const Offer &offer) const
{
    if (offer.request.deadline <= offer.now) {
        return ResultCode::DeadlineWouldPass;
    }
    const bool isInTime = (offer.isReserved ? offer.waitByBacklog : offer.wait) <= offer.bound;
    const bool leavesRoom = offer.waitBehindReserved <= part(offer.bound, newcomerPart) || offer.wait <= part(offer.bound, lowWaterPart);
    if (isInTime && (offer.isReserved || leavesRoom)) {
        return ResultCode::Ok;
    }
    return offer.bound < limits_.maxWait ? ResultCode::DeadlineWouldPass : ResultCode::QueueFull;
}

AdmissionQueue::ModelQueue &AdmissionQueue::modelQueue(ModelId model)
{
    const auto [found, isNew] = models_.try_emplace(model, limits_);
    if (isNew) {
        found->second.model = model;
        order_.push_back(&found->second);
        for (const auto &[team, weight] : weights_) {
            found->second.queue.setWeight(team, weight);
        }
    }
    return found->second;
}

std::uint64_t AdmissionQueue::bookKey(const ModelQueue &model, const QueuedRequest &request)
{
    const auto kind = static_cast<std::uint64_t>(model.queue.laneOf(request.cost));
    return static_cast<std::uint64_t>(request.team) * laneCount + kind;
}

void AdmissionQueue::onBlocked(ModelQueue &model, TimePoint now)
{
    if (!model.estimate.isBlocked() && now - model.emptiedAt > sharesStaleAfter) {
        model.queue.resetShares();
    }
    model.queue.setContended(true);
    model.estimate.onBlocked(now);
}

Duration AdmissionQueue::waitByBacklog(const Offer &offer, std::int64_t extra)
{
    return offer.model.estimate.waitFor(offer.model.queue.tokensAhead(offer.request, extra));
}

// Two estimates. What waits now, in the order of service, is right at the start of a burst but knows nothing of the work
// that others will send meanwhile and that goes first because they are within their parts. What share of the service this
// team's lane had contains that, but only after some seconds. The longer one counts, so that few are let in to expire.
Duration AdmissionQueue::expectedWait(const Offer &offer, std::int64_t extra)
{
    const Duration byBacklog = extra == 0 ? offer.waitByBacklog : waitByBacklog(offer, extra);
    const auto toEarn = static_cast<double>(offer.model.queue.tokensToEarn(offer.request, extra));
    if (toEarn <= 0 || byBacklog <= Duration::zero()) {
        return byBacklog;
    }
    const double rate = offer.model.estimate.rate();
    const double expected = toEarn / (toSeconds(byBacklog) * rate);
    const double share = offer.model.queue.shareOf(offer.request, expected, backlogSeconds * rate, shareSeconds * rate);
    return std::clamp(fromSeconds(toEarn / (share * rate)), byBacklog, part(byBacklog, mostCorrection));
}

void AdmissionQueue::afterRemoval(ModelQueue &model, TimePoint now)
{
    if (model.queue.size() > 0) {
        return;
    }
    model.emptiedAt = now;
    model.queue.setContended(false);
    model.estimate.onEmptied(now);
}

AdmissionQueue::Offer AdmissionQueue::assess(const QueuedRequest &request, TimePoint now)
{
    ModelQueue &model = modelQueue(request.model);
    const auto book = model.books.empty() ? model.books.end() : model.books.find(bookKey(model, request));
    Offer offer{.request = request, .model = model, .book = book == model.books.end() ? nullptr : &book->second, .now = now};
    offer.model.estimate.advance(now);
    offer.bound = std::max(request.deadline - now, Duration::zero());
    offer.waitByBacklog = waitByBacklog(offer, 0);
    offer.wait = expectedWait(offer, 0);
    offer.waitBehindReserved = offer.wait;
    return offer;
}

void AdmissionQueue::applyReservations(Offer &offer)
{
    if (!offer.book || offer.book->isEmpty()) {
        return;
    }
    offer.isReserved = offer.book->redeem(offer.request.fingerprint, offer.request.isRetry, offer.now);
    const std::int64_t reserved = offer.book->tokensDue(offer.now);
    if (reserved > 0) {
        offer.waitBehindReserved = expectedWait(offer, reserved);
    }
}

// How long its team's lane takes for a request: the mean over what waits, which evens out the steps of the rounds, or the
// step to the next such request if nothing of its kind waits.
Duration AdmissionQueue::serviceTime(const Offer &offer)
{
    const std::int64_t ownTokens = offer.model.queue.ownTokensAhead(offer.request);
    if (ownTokens > 0) {
        return part(offer.wait, static_cast<double>(offer.request.cost) / static_cast<double>(ownTokens));
    }
    return expectedWait(offer, offer.request.cost) - offer.wait;
}

Duration AdmissionQueue::reserveReturn(const Offer &offer)
{
    const QueuedRequest &request = offer.request;
    const Duration served = serviceTime(offer);
    const Duration excess = std::max(offer.wait - part(offer.bound, newcomerPart), Duration::zero());
    ReservationBook &book = offer.model.books[bookKey(offer.model, request)];
    return book.reserve(request.fingerprint, request.cost, offer.now + excess, part(served, reservationSpacing), offer.now);
}

AdmissionDecision AdmissionQueue::refuse(const Offer &offer, ResultCode code)
{
    AdmissionDecision decision{.isAdmitted = false, .expectedWait = offer.wait, .reason = {}, .retryAfter = drainingRetryAfter};
    decision.reason = makeReason(code);
    if (code != ResultCode::Draining && code != ResultCode::InvalidField) {
        decision.retryAfter = reserveReturn(offer);
    }
    return decision;
}

QueueEntry &AdmissionQueue::insert(const QueuedRequest &request)
{
    QueueEntry &entry = entries_.try_emplace(request.id).first->second;
    entry.request = request;
    deadlines_.insert(entry);
    ++teamSizes_[request.team];
    return entry;
}

QueuedRequest AdmissionQueue::forget(QueueEntry &entry)
{
    const QueuedRequest request = entry.request;
    deadlines_.erase(Deadlines::s_iterator_to(entry));
    --teamSizes_[request.team];
    entries_.erase(request.id);
    return request;
}

QueuedRequest AdmissionQueue::takeOut(QueueEntry &entry, TimePoint now)
{
    ModelQueue &model = modelQueue(entry.request.model);
    model.queue.erase(entry);
    afterRemoval(model, now);
    return forget(entry);
}

void AdmissionQueue::collectExpired(TimePoint now)
{
    while (!deadlines_.empty() && deadlines_.begin()->request.deadline <= now) {
        expired_.push_back(giveUp(*deadlines_.begin(), now));
    }
}

ExpiredRequest AdmissionQueue::giveUp(QueueEntry &entry, TimePoint now)
{
    ExpiredRequest expired{.request = takeOut(entry, now), .reason = {}, .retryAfter = {}};
    Offer offer = assess(expired.request, now);
    offer.bound = limits_.maxWait;
    expired.retryAfter = reserveReturn(offer);
    expired.reason = makeReason(ResultCode::DeadlineWouldPass);
    return expired;
}

} // namespace Lovageloft
