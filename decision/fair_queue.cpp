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

FairQueue::FairQueue(std::int64_t shortCost, std::int64_t quantum)
    : shortCost_(shortCost)
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
    flowOf(team).quantum = std::max<std::int64_t>(2, std::llround(tokens));
}

LaneKind FairQueue::laneOf(std::int64_t cost) const
{
    return cost <= shortCost_ ? LaneKind::Short : LaneKind::Long;
}

void FairQueue::push(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    lane.queues[static_cast<std::size_t>(entry.request.priority)].push_back(entry);
    add(lane, entry);
}

void FairQueue::putBack(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    lane.account += entry.request.cost;
    lane.queues[static_cast<std::size_t>(entry.request.priority)].push_front(entry);
    add(lane, entry);
}

void FairQueue::erase(QueueEntry &entry)
{
    Lane &lane = laneFor(entry.request);
    remove(lane, entry);
    refresh(lane);
}

QueueEntry *FairQueue::pop()
{
    while (size_ > 0) {
        // One team is topped up at a time, and only when no lane is ready: a team that has just become active then waits
        // for what is ready now and not for a whole round.
        for (std::size_t visits = 0; visits <= round_.size(); ++visits) {
            if (QueueEntry *entry = serveReady()) {
                return entry;
            }
            visitNextFlow();
        }
        skipRounds();
    }
    return nullptr;
}

std::int64_t FairQueue::tokensAhead(const QueuedRequest &request, std::int64_t extra) const
{
    const LaneKind kind = laneOf(request.cost);
    const auto own = flows_.find(request.team);
    const Lane *lane = own == flows_.end() ? nullptr : &own->second.lanes[static_cast<std::size_t>(kind)];
    std::int64_t ownAhead = extra;
    for (std::size_t priority = 0; lane && priority <= static_cast<std::size_t>(request.priority); ++priority) {
        ownAhead += lane->tokens[priority];
    }
    const std::int64_t account = lane ? lane->account : 0;
    if (account - ownAhead >= 0) {
        return ownAhead + readyTokens(LaneKind::Short) + (kind == LaneKind::Long ? readyTokens(LaneKind::Long) : 0);
    }
    const std::int64_t rounds = roundsUntil(account - ownAhead, lane ? quantumOf(*lane) : quantum_);
    std::int64_t total = ownAhead;
    for (const Flow &flow : round_) {
        for (const Lane &other : flow.lanes) {
            total += &other == lane ? 0 : servedWithin(other, rounds);
        }
    }
    return total;
}

std::size_t FairQueue::size() const
{
    return size_;
}

std::int64_t FairQueue::backlog() const
{
    return backlog_;
}

FairQueue::Flow &FairQueue::flowOf(TeamId team)
{
    const auto [found, isNew] = flows_.try_emplace(team);
    Flow &flow = found->second;
    if (!isNew) {
        return flow;
    }
    flow.quantum = quantum_;
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

bool FairQueue::needsTokens(const Lane &lane)
{
    return lane.backlog > 0 || lane.account < 0;
}

std::int64_t FairQueue::quantumOf(const Lane &lane)
{
    const LaneKind otherKind = lane.kind == LaneKind::Short ? LaneKind::Long : LaneKind::Short;
    const Lane &other = lane.flow->lanes[static_cast<std::size_t>(otherKind)];
    return needsTokens(other) ? lane.flow->quantum / 2 : lane.flow->quantum;
}

std::int64_t FairQueue::roundsUntil(std::int64_t account, std::int64_t quantum)
{
    return account >= 0 ? 0 : (-account + quantum - 1) / quantum;
}

std::int64_t FairQueue::servedWithin(const Lane &lane, std::int64_t rounds)
{
    const std::int64_t account = lane.account + rounds * quantumOf(lane);
    if (lane.backlog == 0 || account < 0) {
        return 0;
    }
    return std::min(lane.backlog, account + lane.headCost);
}

std::int64_t FairQueue::readyTokens(LaneKind kind) const
{
    std::int64_t total = 0;
    for (const Lane &lane : ready_[static_cast<std::size_t>(kind)]) {
        total += servedWithin(lane, 0);
    }
    return total;
}

void FairQueue::add(Lane &lane, QueueEntry &entry)
{
    lane.tokens[static_cast<std::size_t>(entry.request.priority)] += entry.request.cost;
    lane.backlog += entry.request.cost;
    backlog_ += entry.request.cost;
    ++size_;
    refresh(lane);
}

void FairQueue::remove(Lane &lane, QueueEntry &entry)
{
    const auto priority = static_cast<std::size_t>(entry.request.priority);
    lane.queues[priority].erase(Queue::s_iterator_to(entry));
    lane.tokens[priority] -= entry.request.cost;
    lane.backlog -= entry.request.cost;
    backlog_ -= entry.request.cost;
    --size_;
}

void FairQueue::refresh(Lane &lane)
{
    const auto head = std::ranges::find_if(lane.queues, [](const Queue &queue) { return !queue.empty(); });
    lane.headCost = head == lane.queues.end() ? 0 : head->front().request.cost;
    if (lane.backlog == 0) {
        // Nothing is saved up while idle: a team that was quiet all weekend would otherwise shut out all others on Monday.
        lane.account = std::min<std::int64_t>(lane.account, 0);
    }
    auto &ready = ready_[static_cast<std::size_t>(lane.kind)];
    const bool isReady = lane.backlog > 0 && lane.account >= 0;
    if (isReady && !lane.is_linked()) {
        ready.push_back(lane);
    } else if (!isReady && lane.is_linked()) {
        ready.erase(ready.iterator_to(lane));
    }
    refreshRound(*lane.flow);
}

void FairQueue::refreshRound(Flow &flow)
{
    const bool isActive = std::ranges::any_of(flow.lanes, &FairQueue::needsTokens);
    if (isActive && !flow.is_linked()) {
        round_.push_back(flow);
    } else if (!isActive && flow.is_linked()) {
        round_.erase(round_.iterator_to(flow));
    }
}

QueueEntry *FairQueue::serveReady()
{
    for (auto &ready : ready_) {
        if (ready.empty()) {
            continue;
        }
        Lane &lane = ready.front();
        const auto head = std::ranges::find_if(lane.queues, [](const Queue &queue) { return !queue.empty(); });
        QueueEntry &entry = head->front();
        remove(lane, entry);
        lane.account -= entry.request.cost;
        ready.pop_front();
        refresh(lane);
        return &entry;
    }
    return nullptr;
}

void FairQueue::topUp(Flow &flow, std::int64_t rounds)
{
    const std::array<std::int64_t, laneCount> quanta = {quantumOf(flow.lanes[0]), quantumOf(flow.lanes[1])};
    for (std::size_t index = 0; index < laneCount; ++index) {
        Lane &lane = flow.lanes[index];
        if (needsTokens(lane)) {
            lane.account += rounds * quanta[index];
        }
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
    for (const Flow &flow : round_) {
        for (const Lane &lane : flow.lanes) {
            rounds = lane.backlog > 0 ? std::min(rounds, roundsUntil(lane.account, quantumOf(lane))) : rounds;
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
