#include "decision/admission_queue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lovageloft
{

namespace
{

// In tokens. A cost above the longest context in use is an estimation error and would leave the team in debt for hours.
constexpr std::int64_t maxCost = 4'194'304;

// Fraction of a request's longest wait up to which a new request is admitted. The rest is kept for callers that retry at their
// reserved time and for estimates that are too low: admitting too much leads to requests that expire while they wait.
constexpr double newcomerWaitFraction = 0.7;

// Up to this fraction of the longest wait new requests are admitted whatever is reserved: reservations of callers that never
// retry must not leave engines idle.
constexpr double lowWatermarkFraction = 0.3;

// Weight of the share derived from the backlog, as seconds of measured service: enough to outweigh one long prompt of another
// team.
constexpr double backlogWeightSeconds = 2;

// Seconds of service over which measurements of a lane's share decay, the same as for the rate of the model.
constexpr double shareDecaySeconds = 10;

// Limits by how much a low measured share lengthens the wait derived from the backlog. A factor of 2 assumes that at most half of
// the service goes to requests that arrive later. One or two long prompts at the start of a burst can make that part look larger.
constexpr double maxShareCorrection = 2;

// Measured shares are dropped this long after the queue became empty, since the competing load has changed by then.
constexpr Duration shareExpiry = std::chrono::seconds(10);

// Reserved retries are spaced wider than their lane drains by this factor. Without it estimation errors would accumulate in the
// queue until callers that retry on time are refused again. New requests use the capacity that is left.
constexpr double reservationSpacingFactor = 1.1;

// Another host behind the balancer can take the request at once, but the balancer needs a moment to notice that this host drains.
constexpr Duration drainingRetryAfter = std::chrono::seconds(1);

Duration scaled(Duration duration, double factor)
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

void AdmissionQueue::setPreferred(ModelId model)
{
    ModelQueue &queue = modelQueue(model);
    if (!std::exchange(queue.isPreferred, true)) {
        std::erase(modelOrder_, &queue);
        preferred_.push_back(&queue);
    }
}

AdmissionDecision AdmissionQueue::offer(const QueuedRequest &request, TimePoint now)
{
    collectExpired(now);
    QueuedRequest clamped = request;
    clamped.cost = std::clamp<std::int64_t>(request.cost, 1, maxCost);
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
    for (ModelQueue *model : preferred_) {
        if (auto request = nextOf(*model, now, canDispatch)) {
            return request;
        }
    }
    for (std::size_t tried = 0; tried < modelOrder_.size(); ++tried) {
        nextModel_ = (nextModel_ + 1) % modelOrder_.size();
        if (auto request = nextOf(*modelOrder_[nextModel_], now, canDispatch)) {
            return request;
        }
    }
    return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::nextOf(ModelQueue &model, TimePoint now, const CanDispatch &canDispatch)
{
    if (model.queue.size() == 0) {
        return std::nullopt;
    }
    if (!canDispatch(model.queue.peek()->request)) {
        onBlocked(model, now);
        return std::nullopt;
    }
    QueueEntry &entry = *model.queue.pop();
    model.estimate.onDispatched(entry.request.cost, now);
    onRequestRemoved(model, now);
    return eraseEntry(entry);
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
    // Other calls may have collected expired requests already. If only the next deadline were returned, these would wait until
    // then for their final answer.
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
    removeEntry(found->second, now);
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
        removed.push_back(removeEntry(entry, now));
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

// Protects against a flood of short requests with distant deadlines, for which the expected wait alone would let memory grow: one
// team would fill the queue and requests of the others would be refused. A team may hold as many requests as there are free
// places (dynamic threshold): one flooding team gets half of the places, two get a third each, and some places always stay free
// for a team that has none.
ResultCode AdmissionQueue::checkMemory(const Offer &offer) const
{
    const std::size_t free = limits_.maxRequests - std::min(limits_.maxRequests, entries_.size());
    return size(offer.request.team) < free ? ResultCode::Ok : ResultCode::Overloaded;
}

// Protects against demand above the capacity of the engines: requests would wait, expire and be sent again, and their callers
// would learn too late to try another host in time. New requests leave room for reserved retries that are due. Reserved retries are
// judged by the backlog alone: after a lane has stalled behind one long prompt, its measured share is so low that they would be refused.
ResultCode AdmissionQueue::checkWait(const Offer &offer) const
{
    if (offer.request.deadline <= offer.now) {
        return ResultCode::DeadlineWouldPass;
    }
    const bool isInTime = (offer.isReserved ? offer.backlogWait : offer.wait) <= offer.waitLimit;
    const bool leavesRoom =
        offer.waitBehindReserved <= scaled(offer.waitLimit, newcomerWaitFraction) || offer.wait <= scaled(offer.waitLimit, lowWatermarkFraction);
    if (isInTime && (offer.isReserved || leavesRoom)) {
        return ResultCode::Ok;
    }
    return offer.waitLimit < limits_.maxWait ? ResultCode::DeadlineWouldPass : ResultCode::QueueFull;
}

AdmissionQueue::ModelQueue &AdmissionQueue::modelQueue(ModelId model)
{
    const auto [found, isNew] = models_.try_emplace(model, limits_);
    if (isNew) {
        found->second.model = model;
        modelOrder_.push_back(&found->second);
        for (const auto &[team, weight] : weights_) {
            found->second.queue.setWeight(team, weight);
        }
    }
    return found->second;
}

std::uint64_t AdmissionQueue::laneKey(const ModelQueue &model, const QueuedRequest &request)
{
    const auto kind = static_cast<std::uint64_t>(model.queue.laneOf(request.cost));
    return static_cast<std::uint64_t>(request.team) * laneCount + kind;
}

void AdmissionQueue::onBlocked(ModelQueue &model, TimePoint now)
{
    if (!model.estimate.isBlocked() && now - model.emptiedAt > shareExpiry) {
        model.queue.resetShares();
    }
    model.queue.setContended(true);
    model.estimate.onBlocked(now);
}

Duration AdmissionQueue::backlogWait(const Offer &offer, std::int64_t extra)
{
    return offer.model.estimate.waitFor(offer.model.queue.tokensAhead(offer.request, extra));
}

// Returns the longer of two estimates, so that few requests are admitted that expire later. The backlog is accurate at the start
// of a burst, but leaves out requests that arrive later and go first because their teams are below their share. The measured
// share of the lane includes these, but only after some seconds.
Duration AdmissionQueue::expectedWait(const Offer &offer, std::int64_t extra)
{
    const Duration byBacklog = extra == 0 ? offer.backlogWait : backlogWait(offer, extra);
    const auto tokensToCredit = static_cast<double>(offer.model.queue.tokensToCredit(offer.request, extra));
    if (tokensToCredit <= 0 || byBacklog <= Duration::zero()) {
        return byBacklog;
    }
    const double rate = offer.model.estimate.rate();
    const double prior = tokensToCredit / (toSeconds(byBacklog) * rate);
    const double share = offer.model.queue.shareOf(offer.request, prior, backlogWeightSeconds * rate, shareDecaySeconds * rate);
    return std::clamp(fromSeconds(tokensToCredit / (share * rate)), byBacklog, scaled(byBacklog, maxShareCorrection));
}

void AdmissionQueue::onRequestRemoved(ModelQueue &model, TimePoint now)
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
    const auto book = model.reservationBooks.empty() ? model.reservationBooks.end() : model.reservationBooks.find(laneKey(model, request));
    Offer offer{.request = request, .model = model, .book = book == model.reservationBooks.end() ? nullptr : &book->second, .now = now};
    offer.model.estimate.advance(now);
    offer.waitLimit = std::max(request.deadline - now, Duration::zero());
    offer.backlogWait = backlogWait(offer, 0);
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

// Time that the lane takes to serve the request: the mean over the queued requests of the lane, which smooths the steps between
// rounds, or the additional wait of a second such request if none is queued.
Duration AdmissionQueue::serviceTime(const Offer &offer)
{
    const std::int64_t ownTokens = offer.model.queue.ownTokensAhead(offer.request);
    if (ownTokens > 0) {
        return scaled(offer.wait, static_cast<double>(offer.request.cost) / static_cast<double>(ownTokens));
    }
    return expectedWait(offer, offer.request.cost) - offer.wait;
}

Duration AdmissionQueue::reserveRetry(const Offer &offer)
{
    const QueuedRequest &request = offer.request;
    const Duration serviceDuration = serviceTime(offer);
    const Duration excess = std::max(offer.wait - scaled(offer.waitLimit, newcomerWaitFraction), Duration::zero());
    ReservationBook &book = offer.model.reservationBooks[laneKey(offer.model, request)];
    return book.reserve(request.fingerprint, request.cost, offer.now + excess, scaled(serviceDuration, reservationSpacingFactor), offer.now);
}

AdmissionDecision AdmissionQueue::refuse(const Offer &offer, ResultCode code)
{
    AdmissionDecision decision{.isAdmitted = false, .expectedWait = offer.wait, .reason = {}, .retryAfter = drainingRetryAfter};
    decision.reason = makeReason(code);
    if (code != ResultCode::Draining && code != ResultCode::InvalidField) {
        decision.retryAfter = reserveRetry(offer);
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

QueuedRequest AdmissionQueue::eraseEntry(QueueEntry &entry)
{
    const QueuedRequest request = entry.request;
    deadlines_.erase(Deadlines::s_iterator_to(entry));
    --teamSizes_[request.team];
    entries_.erase(request.id);
    return request;
}

QueuedRequest AdmissionQueue::removeEntry(QueueEntry &entry, TimePoint now)
{
    ModelQueue &model = modelQueue(entry.request.model);
    model.queue.erase(entry);
    onRequestRemoved(model, now);
    return eraseEntry(entry);
}

void AdmissionQueue::collectExpired(TimePoint now)
{
    while (!deadlines_.empty() && deadlines_.begin()->request.deadline <= now) {
        expired_.push_back(expireEntry(*deadlines_.begin(), now));
    }
}

ExpiredRequest AdmissionQueue::expireEntry(QueueEntry &entry, TimePoint now)
{
    ExpiredRequest expired{.request = removeEntry(entry, now), .reason = {}, .retryAfter = {}};
    Offer offer = assess(expired.request, now);
    offer.waitLimit = limits_.maxWait;
    expired.retryAfter = reserveRetry(offer);
    expired.reason = makeReason(ResultCode::DeadlineWouldPass);
    return expired;
}

} // namespace Lovageloft
