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

/// Lanes separate the requests of a team by cost, so that a short request never waits behind a long one of its team.
enum class LaneKind : std::uint8_t
{
    Short,
    Long,
};

constexpr std::size_t laneCount = 2;

/// A queued request with the intrusive hooks for its lane and for the order of deadlines. The owner must keep it alive at the
/// same address while it is queued.
struct QueueEntry : boost::intrusive::list_base_hook<>, boost::intrusive::set_base_hook<>
{
    QueuedRequest request;
};

/// Deficit round robin over teams, in tokens, for the requests of one model.
///
/// Designed for engines that are saturated by teams of unequal demand: a team that sends several times its rate, or requests of
/// 60,000 tokens, must not take the engines from the others. A lane may be served while its credit is not negative. Each request
/// is charged when it is popped, and negative credit is paid back over the following rounds before the lane is served again, also
/// while nothing is queued. So a team is at most one request ahead of its share, and a long request is served at its team's next
/// turn and paid for afterwards instead of waiting until enough credit has accumulated.
///
/// Each team has two lanes with separate credit. Short requests whose lane has credit go ahead of all long requests. This is
/// limited, since both lanes are paid from the team's quantum: while the other lane needs tokens too, each gets half. After a long
/// request, the short lanes are served as many tokens as they are credited while the long lanes are credited its cost; a long request
/// of a team that was idle before does not wait for these.
class FairQueue
{
public:
    /// Requests of up to `maxShortCost` tokens are short. A team of weight 1 is credited `quantum` tokens per round.
    FairQueue(std::int64_t maxShortCost, std::int64_t quantum);
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    /// Sets a team's weight relative to other teams; 1 by default, clamped to [0.01, 100].
    void setWeight(TeamId team, double weight);

    LaneKind laneOf(std::int64_t cost) const;

    /// Appends a request to the queue of its team, lane and priority.
    void push(QueueEntry &entry);

    /// Queues a popped request again, at the front of its team, lane and priority, and refunds its tokens.
    void requeue(QueueEntry &entry);

    /// Removes a request that will not be served, without a charge.
    void erase(QueueEntry &entry);

    /// The request that `pop` would return; null if none is queued. May credit lanes to find it.
    const QueueEntry *peek();

    /// Removes the request to serve next and charges its lane; null if none is queued.
    QueueEntry *pop();

    /// Tokens that would be dispatched before the given request if it were queued now behind `extra` further tokens of its lane.
    /// Linear in the number of teams.
    std::int64_t tokensAhead(const QueuedRequest &request, std::int64_t extra = 0) const;

    /// Tokens of the same team and lane that would be served before the given request if it were queued now.
    std::int64_t ownTokensAhead(const QueuedRequest &request) const;

    /// Tokens that must be credited to the request's lane before the request is served behind `extra` further tokens of the lane;
    /// 0 if the credit is sufficient now.
    std::int64_t tokensToCredit(const QueuedRequest &request, std::int64_t extra) const;

    /// Share of the service that the request's lane gets, as tokens credited to the lane per token served, measured while contended.
    /// `prior` is the assumed share, with the weight of `priorTokens` served tokens; measurements decay over `decayTokens` tokens.
    double shareOf(const QueuedRequest &request, double prior, double priorTokens, double decayTokens);

    /// Sets whether requests wait because no engine can take one. Shares are measured only then: otherwise requests are dispatched
    /// at once, whatever their team's share.
    void setContended(bool isContended);

    /// Discards the measured shares, for example after an idle period.
    void resetShares();

    std::size_t size() const;

    /// Cost of all queued requests, in tokens.
    std::int64_t backlog() const;

private:
    using Queue = boost::intrusive::list<QueueEntry>;
    struct Flow;

    /// Counters of a lane that the expected wait is computed from. They are stored apart from the queues, close together in memory,
    /// since each offer iterates over the counters of all teams.
    struct LaneCounters
    {
        std::int64_t credit = 0; ///< In tokens; negative while the lane is ahead of its share.
        std::int64_t backlog = 0; ///< Queued tokens.
        std::int64_t headCost = 0; ///< Cost of the request that is served next, 0 if none is queued.

        /// Whether the lane takes part in the next round.
        bool needsTokens() const
        {
            return backlog > 0 || credit < 0;
        }

        /// Tokens that must be credited until all queued requests are served and paid for.
        std::int64_t shortfall() const
        {
            return std::max<std::int64_t>(0, backlog - credit);
        }

        /// Tokens that can be served after `credited` more tokens have been credited.
        std::int64_t servedAfter(std::int64_t credited) const
        {
            const std::int64_t balance = credit + credited;
            return balance < 0 ? 0 : std::min(backlog, balance + headCost);
        }
    };

    struct FlowCounters
    {
        std::int64_t quantum = 0;
        std::array<LaneCounters, laneCount> lanes;

        /// Tokens credited to a lane per round: half of the team's quantum while the other lane needs tokens too.
        std::int64_t quantumOf(LaneKind kind) const
        {
            const LaneKind other = kind == LaneKind::Short ? LaneKind::Long : LaneKind::Short;
            return lanes[static_cast<std::size_t>(other)].needsTokens() ? quantum / 2 : quantum;
        }

        /// Tokens served per lane within `rounds` rounds if nothing arrives. A lane gets half of the team's quantum until the
        /// other lane's shortfall is covered.
        std::array<std::int64_t, laneCount> servedWithin(std::int64_t rounds) const
        {
            const std::int64_t all = rounds * quantum;
            const std::int64_t half = static_cast<std::int64_t>(static_cast<std::uint64_t>(all) / 2);
            return {lanes[0].servedAfter(all - std::min(half, lanes[1].shortfall())), lanes[1].servedAfter(all - std::min(half, lanes[0].shortfall()))};
        }

        /// Rounds until a lane has been credited `tokens`, under the same assumptions.
        std::int64_t roundsUntil(LaneKind kind, std::int64_t tokens) const
        {
            const LaneKind other = kind == LaneKind::Short ? LaneKind::Long : LaneKind::Short;
            return (tokens + std::min(tokens, lanes[static_cast<std::size_t>(other)].shortfall()) + quantum - 1) / quantum;
        }
    };

    /// Queued requests of one team and kind.
    struct Lane : boost::intrusive::list_base_hook<>
    {
        Flow *flow = nullptr;
        LaneKind kind = LaneKind::Short;
        std::array<Queue, priorityCount> queues;
        std::array<std::int64_t, priorityCount> tokens{};
        ServiceShare share;
        bool wasIdle = false; ///< The team had neither queued requests nor negative credit before the requests that wait now.
    };

    /// The lanes of one team. Linked into the round while it has queued requests or a lane with negative credit.
    struct Flow : boost::intrusive::list_base_hook<>
    {
        std::size_t index = 0; ///< Index into flowCounters_.
        std::array<Lane, laneCount> lanes;
    };

    Flow &flowFor(TeamId team);
    Lane &laneFor(const QueuedRequest &request);
    const Lane *findLane(const QueuedRequest &request) const;
    LaneCounters &countersOf(const Lane &lane);
    const LaneCounters &countersOf(const Lane &lane) const;
    static std::int64_t roundsUntil(std::int64_t credit, std::int64_t quantum);
    std::int64_t readyTokens(LaneKind kind) const;
    void add(Lane &lane, QueueEntry &entry);
    void remove(Lane &lane, QueueEntry &entry);
    void updateLane(Lane &lane);
    void updateShare(Lane &lane);
    void updateRound(Flow &flow);
    static QueueEntry &headOf(Lane &lane);
    Lane *readyLane();
    void interleaveShortWork(std::int64_t cost);
    Lane *findReady();
    void creditQuanta(Flow &flow, std::int64_t rounds);
    void visitNextFlow();
    void skipRounds();

    std::int64_t maxShortCost_;
    std::int64_t quantum_;
    std::unordered_map<TeamId, Flow> flows_;
    std::vector<FlowCounters> flowCounters_;
    boost::intrusive::list<Flow> round_; ///< Flows in round robin order; the front is credited next.
    std::array<boost::intrusive::list<Lane>, laneCount> ready_; ///< Lanes with queued requests and non-negative credit.
    bool isContended_ = false;
    double contendedTokens_ = 0; ///< Tokens dispatched while contended.
    std::uint64_t shareEpoch_ = 0;
    std::size_t size_ = 0;
    std::array<std::int64_t, laneCount> backlogs_{}; ///< Queued tokens by lane kind.
    std::int64_t shortTokensBeforeLong_ = 0; ///< Tokens of short requests to dispatch before the next long request.
};

} // namespace Lovageloft
