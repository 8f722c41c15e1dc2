#include "decision/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Lovageloft
{

namespace
{

constexpr double leastWeight = 0.01;
constexpr double mostWeight = 100;

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
    const double tokens = static_cast<double>(quantum_) * std::clamp(weight, leastWeight, mostWeight);
    figures_[flowOf(team).index].quantum = std::max<std::int64_t>(2, std::llround(tokens));
}

LaneKind FairQueue::laneOf(std::int64_t cost) const
{
    return cost <= maxShortCost_ ? LaneKind::Short : LaneKind::Long;
}

void FairQueue::push(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    lane.isFresh = lane.isFresh || !lane.flow->is_linked();
    lane.queues[static_cast<std::size_t>(entry.request.priority)].push_back(entry);
    add(lane, entry);
}

void FairQueue::requeue(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    figuresOf(lane).account += entry.request.cost;
    lane.queues[static_cast<std::size_t>(entry.request.priority)].push_front(entry);
    add(lane, entry);
}

void FairQueue::erase(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    remove(lane, entry);
    refresh(lane);
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
    figuresOf(*lane).account -= entry.request.cost;
    lane->isFresh = false;
    if (lane->kind == LaneKind::Long) {
        oweShortWork(entry.request.cost);
    } else {
        shortOwed_ -= entry.request.cost;
    }
    served_ += isContended_ ? static_cast<double>(entry.request.cost) : 0;
    refresh(*lane);
    return &entry;
}

std::int64_t FairQueue::tokensAhead(const QueuedRequest &request, std::int64_t extra) const
{
    const LaneKind kind = laneOf(request.cost);
    const Lane *lane = findLane(request);
    const std::int64_t ownAhead = extra + ownTokensAhead(request);
    const std::int64_t account = lane ? figuresOf(*lane).account : 0;
    if (account >= ownAhead) {
        const std::int64_t ready = readyTokens(LaneKind::Short) + (kind == LaneKind::Long ? readyTokens(LaneKind::Long) : 0);
        return ownAhead + ready - (lane ? figuresOf(*lane).servedAfter(0) : 0);
    }
    const FlowFigures newcomer{.quantum = quantum_, .lanes = {}};
    const FlowFigures &own = lane ? figures_[lane->flow->index] : newcomer;
    const std::int64_t rounds = own.roundsUntil(kind, ownAhead - account);
    std::int64_t total = ownAhead;
    for (const FlowFigures &flow : figures_) {
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

std::int64_t FairQueue::tokensToEarn(const QueuedRequest &request, std::int64_t extra) const
{
    const Lane *lane = findLane(request);
    const std::int64_t account = lane ? figuresOf(*lane).account : 0;
    return std::max<std::int64_t>(0, extra + ownTokensAhead(request) - account);
}

double FairQueue::shareOf(const QueuedRequest &request, double expected, double tokens, double memory)
{
    return laneFor(request).share.share(expected, tokens, served_, memory);
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

FairQueue::Flow &FairQueue::flowOf(TeamId team)
{
    const auto [found, isNew] = flows_.try_emplace(team);
    Flow &flow = found->second;
    if (!isNew) {
        return flow;
    }
    flow.index = figures_.size();
    figures_.push_back({.quantum = quantum_, .lanes = {}});
    for (const LaneKind kind : {LaneKind::Short, LaneKind::Long}) {
        Lane &lane = flow.lanes[static_cast<std::size_t>(kind)];
        lane.flow = &flow;
        lane.kind = kind;
    }
    return flow;
}

FairQueue::Lane &FairQueue::laneFor(const QueuedRequest &request)
{
    return flowOf(request.team).lanes[static_cast<std::size_t>(laneOf(request.cost))];
}

const FairQueue::Lane *FairQueue::findLane(const QueuedRequest &request) const
{
    const auto found = flows_.find(request.team);
    return found == flows_.end() ? nullptr : &found->second.lanes[static_cast<std::size_t>(laneOf(request.cost))];
}

FairQueue::LaneFigures &FairQueue::figuresOf(const Lane &lane)
{
    return figures_[lane.flow->index].lanes[static_cast<std::size_t>(lane.kind)];
}

const FairQueue::LaneFigures &FairQueue::figuresOf(const Lane &lane) const
{
    return figures_[lane.flow->index].lanes[static_cast<std::size_t>(lane.kind)];
}

std::int64_t FairQueue::roundsUntil(std::int64_t account, std::int64_t quantum)
{
    return account >= 0 ? 0 : (-account + quantum - 1) / quantum;
}

std::int64_t FairQueue::readyTokens(LaneKind kind) const
{
    std::int64_t total = 0;
    for (const Lane &lane : ready_[static_cast<std::size_t>(kind)]) {
        total += figuresOf(lane).servedAfter(0);
    }
    return total;
}

void FairQueue::add(Lane &lane, QueueEntry &entry)
{
    lane.tokens[static_cast<std::size_t>(entry.request.priority)] += entry.request.cost;
    figuresOf(lane).backlog += entry.request.cost;
    backlogs_[static_cast<std::size_t>(lane.kind)] += entry.request.cost;
    ++size_;
    refresh(lane);
}

void FairQueue::remove(Lane &lane, QueueEntry &entry)
{
    const auto priority = static_cast<std::size_t>(entry.request.priority);
    lane.queues[priority].erase(Queue::s_iterator_to(entry));
    lane.tokens[priority] -= entry.request.cost;
    figuresOf(lane).backlog -= entry.request.cost;
    backlogs_[static_cast<std::size_t>(lane.kind)] -= entry.request.cost;
    --size_;
}

void FairQueue::refresh(Lane &lane)
{
    LaneFigures &figures = figuresOf(lane);
    figures.headCost = figures.backlog > 0 ? headOf(lane).request.cost : 0;
    if (figures.backlog == 0) {
        // Nothing is saved up while idle: a team that was quiet all weekend would otherwise shut out all others on Monday.
        figures.account = std::min<std::int64_t>(figures.account, 0);
    }
    auto &ready = ready_[static_cast<std::size_t>(lane.kind)];
    const bool isReady = figures.backlog > 0 && figures.account >= 0;
    if (isReady && !lane.is_linked()) {
        ready.push_back(lane);
    } else if (!isReady && lane.is_linked()) {
        ready.erase(ready.iterator_to(lane));
    }
    refreshShare(lane);
    refreshRound(*lane.flow);
}

void FairQueue::refreshShare(Lane &lane)
{
    const bool isNeeding = figuresOf(lane).needsTokens();
    if (isNeeding && !lane.share.isActive()) {
        lane.share.begin(served_, shareEpoch_);
    } else if (!isNeeding && lane.share.isActive()) {
        lane.share.end(served_);
    }
}

void FairQueue::refreshRound(Flow &flow)
{
    const bool isActive = std::ranges::any_of(figures_[flow.index].lanes, &LaneFigures::needsTokens);
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
        // One team is topped up at a time, and only when no lane is ready: a team that has just become active then waits
        // for what is ready now and not for a whole round.
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
    if (longLanes.empty() || shortOwed_ <= 0 || !hasShortWork) {
        return longLanes.empty() ? nullptr : &longLanes.front();
    }
    // A team that was idle is not made to wait for short work of those that are beyond their parts, and none longer than
    // until it has earned the whole cost.
    const auto next = std::ranges::find_if(longLanes, [this](const Lane &lane) {
        const LaneFigures &figures = figuresOf(lane);
        return lane.isFresh || figures.account >= figures.headCost;
    });
    return next == longLanes.end() ? nullptr : &*next;
}

// Made for several teams whose long prompts come to their turn in the same round. The harm prevented is that they are served one
// behind the other and hold all engines for many seconds in which no short work gets a token. After a long request the short
// lanes get what they earn while the long ones earn its cost; the parts of the teams stay as they are, only the order changes.
void FairQueue::oweShortWork(std::int64_t cost)
{
    double shortQuanta = 0;
    double longQuanta = 1;
    for (const FlowFigures &flow : figures_) {
        shortQuanta += flow.lanes[0].backlog > 0 ? static_cast<double>(flow.quantumOf(LaneKind::Short)) : 0;
        longQuanta += flow.lanes[1].needsTokens() ? static_cast<double>(flow.quantumOf(LaneKind::Long)) : 0;
    }
    shortOwed_ = std::llround(static_cast<double>(cost) * shortQuanta / longQuanta);
}

void FairQueue::topUp(Flow &flow, std::int64_t rounds)
{
    FlowFigures &figures = figures_[flow.index];
    const std::array<std::int64_t, laneCount> quanta = {figures.quantumOf(LaneKind::Short), figures.quantumOf(LaneKind::Long)};
    for (std::size_t index = 0; index < laneCount; ++index) {
        LaneFigures &lane = figures.lanes[index];
        const std::int64_t earned = lane.needsTokens() ? rounds * quanta[index] : 0;
        lane.account += earned;
        flow.lanes[index].share.onEarned(isContended_ ? earned : 0);
    }
    for (Lane &lane : flow.lanes) {
        refresh(lane);
    }
}

void FairQueue::visitNextFlow()
{
    if (round_.empty()) {
        return;
    }
    Flow &flow = round_.front();
    round_.splice(round_.end(), round_, round_.begin());
    topUp(flow, 1);
}

void FairQueue::skipRounds()
{
    // All that have work are in debt after a long request each. Paying back in single rounds would cost many walks over
    // all teams for one decision, so the rounds that help nobody are paid at once.
    std::int64_t rounds = std::numeric_limits<std::int64_t>::max();
    for (const FlowFigures &flow : figures_) {
        for (const LaneKind kind : {LaneKind::Short, LaneKind::Long}) {
            const LaneFigures &lane = flow.lanes[static_cast<std::size_t>(kind)];
            rounds = lane.backlog > 0 ? std::min(rounds, roundsUntil(lane.account, flow.quantumOf(kind))) : rounds;
        }
    }
    if (size_ == 0 || rounds <= 1) {
        return;
    }
    for (auto next = round_.begin(); next != round_.end();) {
        Flow &flow = *next++;
        topUp(flow, rounds - 1);
    }
}

} // namespace Lovageloft
