#include "decision/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Lovageloft
{

namespace
{

constexpr double minWeight = 0.01;
constexpr double maxWeight = 100;

} // namespace

FairQueue::FairQueue(std::int64_t maxShortCost, std::int64_t quantum)
    : maxShortCost_(maxShortCost)
    , quantum_(quantum)
{
}

FairQueue::~FairQueue()
{
    for (auto &ready : ready_) {
        ready.clear();
    }
    round_.clear();
    for (auto &[team, flow] : flows_) {
        for (Lane &lane : flow.lanes) {
            std::ranges::for_each(lane.queues, &Queue::clear);
        }
    }
}

void FairQueue::setWeight(TeamId team, double weight)
{
    const double tokens = static_cast<double>(quantum_) * std::clamp(weight, minWeight, maxWeight);
    flowCounters_[flowFor(team).index].quantum = std::max<std::int64_t>(2, std::llround(tokens));
}

LaneKind FairQueue::laneOf(std::int64_t cost) const
{
    return cost <= maxShortCost_ ? LaneKind::Short : LaneKind::Long;
}

void FairQueue::push(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    lane.wasIdle = lane.wasIdle || !lane.flow->is_linked();
    lane.queues[static_cast<std::size_t>(entry.request.priority)].push_back(entry);
    add(lane, entry);
}

void FairQueue::requeue(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    countersOf(lane).credit += entry.request.cost;
    lane.queues[static_cast<std::size_t>(entry.request.priority)].push_front(entry);
    add(lane, entry);
}

void FairQueue::erase(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    remove(lane, entry);
    updateLane(lane);
}

const QueueEntry *FairQueue::peek()
{
    Lane *lane = findReady();
    return lane ? &headOf(*lane) : nullptr;
}

QueueEntry *FairQueue::pop()
{
    Lane *lane = findReady();
    if (!lane) {
        return nullptr;
    }
    QueueEntry &entry = headOf(*lane);
    auto &ready = ready_[static_cast<std::size_t>(lane->kind)];
    ready.erase(ready.iterator_to(*lane));
    remove(*lane, entry);
    countersOf(*lane).credit -= entry.request.cost;
    lane->wasIdle = false;
    if (lane->kind == LaneKind::Long) {
        interleaveShortWork(entry.request.cost);
    } else {
        shortTokensBeforeLong_ -= entry.request.cost;
    }
    contendedTokens_ += isContended_ ? static_cast<double>(entry.request.cost) : 0;
    updateLane(*lane);
    return &entry;
}

std::int64_t FairQueue::tokensAhead(const QueuedRequest &request, std::int64_t extra) const
{
    const LaneKind kind = laneOf(request.cost);
    const Lane *lane = findLane(request);
    const std::int64_t ownAhead = extra + ownTokensAhead(request);
    const std::int64_t credit = lane ? countersOf(*lane).credit : 0;
    if (credit >= ownAhead) {
        const std::int64_t ready = readyTokens(LaneKind::Short) + (kind == LaneKind::Long ? readyTokens(LaneKind::Long) : 0);
        return ownAhead + ready - (lane ? countersOf(*lane).servedAfter(0) : 0);
    }
    const FlowCounters newcomer{.quantum = quantum_, .lanes = {}};
    const FlowCounters &own = lane ? flowCounters_[lane->flow->index] : newcomer;
    const std::int64_t rounds = own.roundsUntil(kind, ownAhead - credit);
    std::int64_t total = ownAhead;
    for (const FlowCounters &flow : flowCounters_) {
        const auto served = flow.servedWithin(rounds);
        total += served[0] + served[1];
    }
    return total - own.servedWithin(rounds)[static_cast<std::size_t>(kind)];
}

std::int64_t FairQueue::ownTokensAhead(const QueuedRequest &request) const
{
    const Lane *lane = findLane(request);
    std::int64_t ahead = 0;
    for (std::size_t priority = 0; lane && priority <= static_cast<std::size_t>(request.priority); ++priority) {
        ahead += lane->tokens[priority];
    }
    return ahead;
}

std::int64_t FairQueue::tokensToCredit(const QueuedRequest &request, std::int64_t extra) const
{
    const Lane *lane = findLane(request);
    const std::int64_t credit = lane ? countersOf(*lane).credit : 0;
    return std::max<std::int64_t>(0, extra + ownTokensAhead(request) - credit);
}

double FairQueue::shareOf(const QueuedRequest &request, double prior, double priorTokens, double decayTokens)
{
    return laneFor(request).share.share(prior, priorTokens, contendedTokens_, decayTokens);
}

void FairQueue::setContended(bool isContended)
{
    isContended_ = isContended;
}

void FairQueue::resetShares()
{
    ++shareEpoch_;
}

std::size_t FairQueue::size() const
{
    return size_;
}

std::int64_t FairQueue::backlog() const
{
    return backlogs_[0] + backlogs_[1];
}

FairQueue::Flow &FairQueue::flowFor(TeamId team)
{
    const auto [found, isNew] = flows_.try_emplace(team);
    Flow &flow = found->second;
    if (!isNew) {
        return flow;
    }
    flow.index = flowCounters_.size();
    flowCounters_.push_back({.quantum = quantum_, .lanes = {}});
    for (const LaneKind kind : {LaneKind::Short, LaneKind::Long}) {
        Lane &lane = flow.lanes[static_cast<std::size_t>(kind)];
        lane.flow = &flow;
        lane.kind = kind;
    }
    return flow;
}

FairQueue::Lane &FairQueue::laneFor(const QueuedRequest &request)
{
    return flowFor(request.team).lanes[static_cast<std::size_t>(laneOf(request.cost))];
}

const FairQueue::Lane *FairQueue::findLane(const QueuedRequest &request) const
{
    const auto found = flows_.find(request.team);
    return found == flows_.end() ? nullptr : &found->second.lanes[static_cast<std::size_t>(laneOf(request.cost))];
}

FairQueue::LaneCounters &FairQueue::countersOf(const Lane &lane)
{
    return flowCounters_[lane.flow->index].lanes[static_cast<std::size_t>(lane.kind)];
}

const FairQueue::LaneCounters &FairQueue::countersOf(const Lane &lane) const
{
    return flowCounters_[lane.flow->index].lanes[static_cast<std::size_t>(lane.kind)];
}

std::int64_t FairQueue::roundsUntil(std::int64_t credit, std::int64_t quantum)
{
    return credit >= 0 ? 0 : (-credit + quantum - 1) / quantum;
}

std::int64_t FairQueue::readyTokens(LaneKind kind) const
{
    std::int64_t total = 0;
    for (const Lane &lane : ready_[static_cast<std::size_t>(kind)]) {
        total += countersOf(lane).servedAfter(0);
    }
    return total;
}

void FairQueue::add(Lane &lane, QueueEntry &entry)
{
    lane.tokens[static_cast<std::size_t>(entry.request.priority)] += entry.request.cost;
    countersOf(lane).backlog += entry.request.cost;
    backlogs_[static_cast<std::size_t>(lane.kind)] += entry.request.cost;
    ++size_;
    updateLane(lane);
}

void FairQueue::remove(Lane &lane, QueueEntry &entry)
{
    const auto priority = static_cast<std::size_t>(entry.request.priority);
    lane.queues[priority].erase(Queue::s_iterator_to(entry));
    lane.tokens[priority] -= entry.request.cost;
    countersOf(lane).backlog -= entry.request.cost;
    backlogs_[static_cast<std::size_t>(lane.kind)] -= entry.request.cost;
    --size_;
}

void FairQueue::updateLane(Lane &lane)
{
    LaneCounters &counters = countersOf(lane);
    counters.headCost = counters.backlog > 0 ? headOf(lane).request.cost : 0;
    if (counters.backlog == 0) {
        // An idle lane accumulates no credit: a team that was idle for a weekend would otherwise block all others on Monday.
        counters.credit = std::min<std::int64_t>(counters.credit, 0);
    }
    auto &ready = ready_[static_cast<std::size_t>(lane.kind)];
    const bool isReady = counters.backlog > 0 && counters.credit >= 0;
    if (isReady && !lane.is_linked()) {
        ready.push_back(lane);
    } else if (!isReady && lane.is_linked()) {
        ready.erase(ready.iterator_to(lane));
    }
    updateShare(lane);
    updateRound(*lane.flow);
}

void FairQueue::updateShare(Lane &lane)
{
    const bool hasDemand = countersOf(lane).needsTokens();
    if (hasDemand && !lane.share.isActive()) {
        lane.share.begin(contendedTokens_, shareEpoch_);
    } else if (!hasDemand && lane.share.isActive()) {
        lane.share.end(contendedTokens_);
    }
}

void FairQueue::updateRound(Flow &flow)
{
    const bool isActive = std::ranges::any_of(flowCounters_[flow.index].lanes, &LaneCounters::needsTokens);
    if (isActive && !flow.is_linked()) {
        round_.push_back(flow);
    } else if (!isActive && flow.is_linked()) {
        round_.erase(round_.iterator_to(flow));
    }
}

QueueEntry &FairQueue::headOf(Lane &lane)
{
    const auto queue = std::ranges::find_if(lane.queues, [](const Queue &candidate) { return !candidate.empty(); });
    return queue->front();
}

FairQueue::Lane *FairQueue::findReady()
{
    while (size_ > 0) {
        // Credits one team at a time, and only while no lane is ready. A team that has just become active then waits only for the
        // lanes that are ready now instead of for a whole round.
        for (std::size_t visits = 0; visits <= round_.size(); ++visits) {
            if (Lane *lane = readyLane()) {
                return lane;
            }
            visitNextFlow();
        }
        skipRounds();
    }
    return nullptr;
}

FairQueue::Lane *FairQueue::readyLane()
{
    auto &shortLanes = ready_[static_cast<std::size_t>(LaneKind::Short)];
    auto &longLanes = ready_[static_cast<std::size_t>(LaneKind::Long)];
    if (!shortLanes.empty()) {
        return &shortLanes.front();
    }
    const bool hasShortWork = backlogs_[static_cast<std::size_t>(LaneKind::Short)] > 0;
    if (longLanes.empty() || shortTokensBeforeLong_ <= 0 || !hasShortWork) {
        return longLanes.empty() ? nullptr : &longLanes.front();
    }
    // A team that was idle does not wait for short requests of teams above their share, and no long request waits longer than until
    // its lane has credit for its whole cost.
    const auto next = std::ranges::find_if(longLanes, [this](const Lane &lane) {
        const LaneCounters &counters = countersOf(lane);
        return lane.wasIdle || counters.credit >= counters.headCost;
    });
    return next == longLanes.end() ? nullptr : &*next;
}

// Interleaves long requests with short ones. If long prompts of several teams are due in the same round, dispatching them back to
// back would occupy all engines for many seconds in which no short request is served. After a long request, short lanes are
// therefore served as many tokens as they are credited while the long lanes are credited the cost of that request. Only the order
// changes; the share of each team stays the same.
void FairQueue::interleaveShortWork(std::int64_t cost)
{
    double shortQuanta = 0;
    double longQuanta = 1;
    for (const FlowCounters &flow : flowCounters_) {
        shortQuanta += flow.lanes[0].backlog > 0 ? static_cast<double>(flow.quantumOf(LaneKind::Short)) : 0;
        longQuanta += flow.lanes[1].needsTokens() ? static_cast<double>(flow.quantumOf(LaneKind::Long)) : 0;
    }
    shortTokensBeforeLong_ = std::llround(static_cast<double>(cost) * shortQuanta / longQuanta);
}

void FairQueue::creditQuanta(Flow &flow, std::int64_t rounds)
{
    FlowCounters &counters = flowCounters_[flow.index];
    const std::array<std::int64_t, laneCount> quanta = {counters.quantumOf(LaneKind::Short), counters.quantumOf(LaneKind::Long)};
    for (std::size_t index = 0; index < laneCount; ++index) {
        LaneCounters &lane = counters.lanes[index];
        const std::int64_t credited = lane.needsTokens() ? rounds * quanta[index] : 0;
        lane.credit += credited;
        flow.lanes[index].share.onCredited(isContended_ ? credited : 0);
    }
    for (Lane &lane : flow.lanes) {
        updateLane(lane);
    }
}

void FairQueue::visitNextFlow()
{
    if (round_.empty()) {
        return;
    }
    Flow &flow = round_.front();
    round_.splice(round_.end(), round_, round_.begin());
    creditQuanta(flow, 1);
}

void FairQueue::skipRounds()
{
    // Every lane with queued requests has negative credit after a long request. Crediting single rounds would iterate over all teams
    // many times for one decision, so rounds after which still no lane is ready are credited at once.
    std::int64_t rounds = std::numeric_limits<std::int64_t>::max();
    for (const FlowCounters &flow : flowCounters_) {
        for (const LaneKind kind : {LaneKind::Short, LaneKind::Long}) {
            const LaneCounters &lane = flow.lanes[static_cast<std::size_t>(kind)];
            rounds = lane.backlog > 0 ? std::min(rounds, roundsUntil(lane.credit, flow.quantumOf(kind))) : rounds;
        }
    }
    if (size_ == 0 || rounds <= 1) {
        return;
    }
    for (auto next = round_.begin(); next != round_.end();) {
        Flow &flow = *next++;
        creditQuanta(flow, rounds - 1);
    }
}

} // namespace Lovageloft
