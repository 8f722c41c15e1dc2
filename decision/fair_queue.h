#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "decision/queued_request.h"
#include "decision/service_share.h"

namespace Lovageloft
{

/// Work of one team is split by length, so that a short question never stands behind a chapter.
enum class LaneKind : std::uint8_t
{
    Short,
    Long,
};

constexpr std::size_t laneCount = 2;

/// A waiting request with its places in the order of service and in the order of deadlines. The owner keeps it alive and
/// in place while it is queued.
struct QueueEntry : boost::intrusive::list_base_hook<>, boost::intrusive::set_base_hook<>
{
    QueuedRequest request;
};

/// The order of service among the requests for one model: deficit round robin over teams, counted in tokens.
///
/// Made for engines that are saturated by teams of unequal demand. The harm prevented is that a team that sends several
/// times its rate, or work of 60,000 tokens, takes the engines from the others. A team may be served while its account is
/// not negative, each request is charged when it leaves, and an account below zero is paid back by the rounds before the
/// team is served again, also if it has nothing waiting meanwhile. So a team is at most one request ahead of its part, and
/// a long request is served at its team's next turn and paid for afterwards instead of waiting until enough is saved.
///
/// Each team has two lanes with an account each. Short work that its account allows goes ahead of all long work. Its bound:
/// it pays from the same quantum, and while the team's other lane needs tokens each lane gets half. Long requests in turn are
/// spaced by the short work that earns its tokens meanwhile, except for a team that was idle before.
class FairQueue
{
public:
    /// Requests of at most `maxShortCost` tokens are short. A round gives a team of weight 1 `quantum` tokens.
    FairQueue(std::int64_t maxShortCost, std::int64_t quantum);
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    /// A team's part relative to others, by default 1; clamped to [0.01, 100].
    void setWeight(TeamId team, double weight);

    LaneKind laneOf(std::int64_t cost) const;

    /// Queues a request behind those of its team, lane and priority.
    void push(QueueEntry &entry);

    /// Puts back the request that `pop` gave out, ahead of its like, and returns its tokens to the account.
    void requeue(QueueEntry &entry);

    /// Takes out a request that will not be served.
    void erase(QueueEntry &entry);

    /// The request that `pop` would take out; null if none waits.
    const QueueEntry *peek();

    /// Takes out the request to be served next and charges its team; null if none waits.
    QueueEntry *pop();

    /// The tokens that are dispatched before a request that is offered now and needs `extra` tokens of its team's part
    /// to go first. Walks over the teams with work: linear in their number.
    std::int64_t tokensAhead(const QueuedRequest &request, std::int64_t extra = 0) const;

    /// Tokens of the same team and lane that are served before a request offered now.
    std::int64_t ownTokensAhead(const QueuedRequest &request) const;

    /// Tokens that the request's lane must earn before the request is served, given `extra` tokens that go first; 0 if its
    /// account allows it now.
    std::int64_t tokensToEarn(const QueuedRequest &request, std::int64_t extra) const;

    /// What the request's lane earns for each token that engines take, as measured while `isContended`; `expected` is a
    /// guess that weighs as much as `tokens` served, and evidence fades over `memory` tokens.
    double shareOf(const QueuedRequest &request, double expected, double tokens, double memory);

    /// Whether requests wait because no engine can take one. Only then shares are measured: otherwise work leaves at once,
    /// whatever its team's part.
    void setContended(bool isContended);

    /// Drops what was learnt about shares, as after a pause.
    void resetShares();

    std::size_t size() const;

    /// Tokens of all that waits.
    std::int64_t backlog() const;

private:
    using Queue = boost::intrusive::list<QueueEntry>;
    struct Flow;

    /// What the expected wait depends on, apart from the queues: an offer walks over the figures of all teams, and these lie
    /// close together in memory.
    struct LaneFigures
    {
        std::int64_t account = 0;
        std::int64_t backlog = 0; ///< Tokens that wait.
        std::int64_t headCost = 0; ///< Cost of the request that is served next, 0 if none waits.

        /// Whether the lane has a claim on the tokens of the next round.
        bool needsTokens() const
        {
            return backlog > 0 || account < 0;
        }

        /// Tokens that the account lacks until all that waits can be served and no debt is left.
        std::int64_t lack() const
        {
            return std::max<std::int64_t>(0, backlog - account);
        }

        /// Tokens served once `gained` have been added to the account.
        std::int64_t servedAfter(std::int64_t gained) const
        {
            const std::int64_t balance = account + gained;
            return balance < 0 ? 0 : std::min(backlog, balance + headCost);
        }
    };

    struct FlowFigures
    {
        std::int64_t quantum = 0;
        std::array<LaneFigures, laneCount> lanes;

        /// The tokens that a lane gets each round: half while the other lane needs some too.
        std::int64_t quantumOf(LaneKind kind) const
        {
            const LaneKind other = kind == LaneKind::Short ? LaneKind::Long : LaneKind::Short;
            return lanes[static_cast<std::size_t>(other)].needsTokens() ? quantum / 2 : quantum;
        }

        /// Tokens served of each lane within some rounds if nothing arrives: a lane gets half of what the team gets until the
        /// other has what it lacks.
        std::array<std::int64_t, laneCount> servedWithin(std::int64_t rounds) const
        {
            const std::int64_t all = rounds * quantum;
            const std::int64_t half = static_cast<std::int64_t>(static_cast<std::uint64_t>(all) / 2);
            return {lanes[0].servedAfter(all - std::min(half, lanes[1].lack())), lanes[1].servedAfter(all - std::min(half, lanes[0].lack()))};
        }

        /// The rounds until a lane has got `tokens`, in the same way.
        std::int64_t roundsUntil(LaneKind kind, std::int64_t tokens) const
        {
            const LaneKind other = kind == LaneKind::Short ? LaneKind::Long : LaneKind::Short;
            return (tokens + std::min(tokens, lanes[static_cast<std::size_t>(other)].lack()) + quantum - 1) / quantum;
        }
    };

    /// One team's work of one kind.
    struct Lane : boost::intrusive::list_base_hook<>
    {
        Flow *flow = nullptr;
        LaneKind kind = LaneKind::Short;
        std::array<Queue, priorityCount> queues;
        std::array<std::int64_t, priorityCount> tokens{};
        ServiceShare share;
        bool isFresh = false; ///< Its team had neither work nor debt before what waits now.
    };

    /// One team. In the round while it has work or a lane's account is negative.
    struct Flow : boost::intrusive::list_base_hook<>
    {
        std::size_t index = 0; ///< Of its figures.
        std::array<Lane, laneCount> lanes;
    };

    Flow &flowOf(TeamId team);
    Lane &laneFor(const QueuedRequest &request);
    const Lane *findLane(const QueuedRequest &request) const;
    LaneFigures &figuresOf(const Lane &lane);
    const LaneFigures &figuresOf(const Lane &lane) const;
    static std::int64_t roundsUntil(std::int64_t account, std::int64_t quantum);
    std::int64_t readyTokens(LaneKind kind) const;
    void add(Lane &lane, QueueEntry &entry);
    void remove(Lane &lane, QueueEntry &entry);
    void refresh(Lane &lane);
    void refreshShare(Lane &lane);
    void refreshRound(Flow &flow);
    static QueueEntry &headOf(Lane &lane);
    Lane *readyLane();
    void oweShortWork(std::int64_t cost);
    Lane *findReady();
    void topUp(Flow &flow, std::int64_t rounds);
    void visitNextFlow();
    void skipRounds();

    std::int64_t maxShortCost_;
    std::int64_t quantum_;
    std::unordered_map<TeamId, Flow> flows_;
    std::vector<FlowFigures> figures_;
    boost::intrusive::list<Flow> round_; ///< The next flow to be topped up is in front.
    std::array<boost::intrusive::list<Lane>, laneCount> ready_; ///< Lanes with work and an account that allows it.
    bool isContended_ = false;
    double served_ = 0; ///< Tokens taken by engines while contended.
    std::uint64_t shareEpoch_ = 0;
    std::size_t size_ = 0;
    std::array<std::int64_t, laneCount> backlogs_{}; ///< Tokens that wait, by kind of lane.
    std::int64_t shortOwed_ = 0; ///< Tokens of short work that go before the next long request.
};

} // namespace Lovageloft
