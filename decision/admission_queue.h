#pragma once

#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/set.hpp>

#include "core/result_code.h"
#include "decision/fair_queue.h"
#include "decision/reservation_book.h"
#include "decision/wait_estimate.h"

namespace Lovageloft
{

/// Limits of an admission queue; docs/design/queueing.md explains them.
struct QueueLimits
{
    Duration maxWait = std::chrono::seconds(10); ///< A request expected to wait longer is refused, whatever its deadline; see AdmissionQueue::offer.
    std::size_t maxRequests = 100'000; ///< Limits memory: about 250 bytes per request, so 25 MB of a host's 256 MB.
    std::int64_t maxShortCost = 1'000; ///< In tokens; costlier requests count as long. About one cache block.
    std::int64_t quantum = 1'000; ///< Tokens credited to a team per round: about one cache block, the smallest unit of work of an engine.
    double initialRate = 20'000; ///< Service rate of a model in tokens per second, assumed until it has been measured under a backlog.
};

/// Result of offering a request to the queue.
struct AdmissionDecision
{
    bool isAdmitted = false;
    Duration expectedWait{}; ///< Until the request is dispatched to an engine, estimated from the current backlog.
    Reason reason; ///< Why the request was refused.
    /// For a refused request: whole seconds, at least one. Capacity is reserved for a retry at that time, which is then expected to be
    /// served. There is no reservation with Draining and InvalidField (1 s) or if ReservationBook::reserve made none (10 minutes).
    Duration retryAfter{};
};

/// A request whose deadline passed while it waited. Its caller is answered at once, with `not_run`.
struct ExpiredRequest
{
    QueuedRequest request;
    Reason reason;
    Duration retryAfter{}; ///< As in AdmissionDecision.
};

/// Decides which requests wait for an engine, in which order they are dispatched, and which are refused at once.
///
/// Designed for a host whose engines are saturated: bursts, teams of unequal demand, prompts of 60,000 tokens next to
/// prompts of 200. Each model has its own queue, so that a busy engine of one model never delays requests for another. The
/// queue is limited by the expected wait instead of its length, since 100 short prompts wait less than two prompts of 60,000
/// tokens. Not thread-safe; performs no I/O and reads no clock.
class AdmissionQueue
{
public:
    /// Returns whether the request can leave the queue now: some engine of its model has room for it in its window, or the caller of
    /// `next` will refuse it because no engine can serve it.
    using CanDispatch = std::function<bool(const QueuedRequest &)>;

    explicit AdmissionQueue(const QueueLimits &limits = {});

    /// Sets a team's weight relative to other teams, for example its configured rate divided by the mean rate. 1 by default, clamped
    /// to [0.01, 100].
    void setWeight(TeamId team, double weight);

    /// Scales the service rate of a model after its engines changed. `factor` is (engines now) / (engines before), clamped to
    /// [0.01, 100].
    void scaleCapacity(ModelId model, double factor);

    /// Lets the requests of a model be dispatched before those of others.
    void setPreferred(ModelId model);

    /// Queues a request, or refuses it with Draining, InvalidField (the id is queued already), Overloaded (the team has too many
    /// queued requests), or because of the expected wait with DeadlineWouldPass if its deadline is nearer than QueueLimits::maxWait,
    /// otherwise with QueueFull. A retry at its reserved time may use all of the time until the nearer of both. A new request may use
    /// 70% of it, counting reserved retries that are due, or 30% without counting these. A deadline further away than
    /// QueueLimits::maxWait is brought forward to it.
    AdmissionDecision offer(const QueuedRequest &request, TimePoint now);

    /// Removes and returns the request to dispatch now; nothing if none waits or `canDispatch` returns false for the next
    /// request of every model. Never returns a request whose deadline has passed. Call it until it returns nothing whenever an
    /// engine window opens (first token or end of a request) or a request was admitted: `canDispatch` returning false also tells
    /// the queue that the engines are saturated.
    std::optional<QueuedRequest> next(TimePoint now, const CanDispatch &canDispatch);

    /// Queues a request from `next` again that reached no engine. It goes to the front of its lane and priority, and its team is
    /// charged only once.
    void requeue(const QueuedRequest &request, TimePoint now);

    /// Removes and returns all requests whose deadline has passed.
    std::vector<ExpiredRequest> expire(TimePoint now);

    /// When to call `expire` next, in the past if requests have expired already; nothing if no request waits.
    std::optional<TimePoint> nextDeadline() const;

    /// Removes a request whose caller disconnected; false if it is not queued.
    bool cancel(RequestId id, TimePoint now);

    /// Removes and returns all matching requests, for example after a team or model was removed. Linear in the size of the queue.
    std::vector<QueuedRequest> removeIf(const std::function<bool(const QueuedRequest &)> &matches, TimePoint now);

    /// Removes and returns all requests that were sent with a withdrawn key.
    std::vector<QueuedRequest> removeByKey(TeamId team, KeyId key, TimePoint now);

    /// Refuses all offers from now on; queued requests are still served.
    void drain();

    std::size_t size() const;

    /// Queued requests of a team over all models.
    std::size_t size(TeamId team) const;

    /// Queued tokens of a model.
    std::int64_t backlog(ModelId model) const;

    /// Rate at which this host dispatches requests to a model's engines, measured while all were busy, in tokens per second.
    double serviceRate(ModelId model) const;

private:
    struct EarlierDeadline
    {
        bool operator()(const QueueEntry &left, const QueueEntry &right) const
        {
            return left.request.deadline < right.request.deadline;
        }
    };

    using Deadlines = boost::intrusive::multiset<QueueEntry, boost::intrusive::compare<EarlierDeadline>>;

    struct ModelQueue
    {
        explicit ModelQueue(const QueueLimits &limits);

        ModelId model{};
        FairQueue queue;
        WaitEstimate estimate;
        std::unordered_map<std::uint64_t, ReservationBook> reservationBooks; ///< By laneKey; only lanes of which requests were refused.
        TimePoint emptiedAt;
        bool isPreferred = false;
    };

    /// Input of the admission checks.
    struct Offer
    {
        const QueuedRequest &request;
        ModelQueue &model;
        ReservationBook *book = nullptr; ///< Null if no request of the same team and lane was refused.
        TimePoint now;
        Duration waitLimit{}; ///< Longest wait that this request may have.
        Duration backlogWait{}; ///< Expected wait based on queued requests only.
        Duration wait{}; ///< Expected wait based on queued requests and on the measured share of the lane.
        Duration waitBehindReserved{}; ///< Like `wait`, as if all requests with a due reservation were queued too.
        bool isReserved = false; ///< Whether the caller retried at its reserved time.
    };

    using Check = ResultCode (AdmissionQueue::*)(const Offer &) const;
    static std::span<const Check> checks();

    ResultCode checkDraining(const Offer &offer) const;
    ResultCode checkId(const Offer &offer) const;
    ResultCode checkMemory(const Offer &offer) const;
    ResultCode checkWait(const Offer &offer) const;

    ModelQueue &modelQueue(ModelId model);
    std::optional<QueuedRequest> nextOf(ModelQueue &model, TimePoint now, const CanDispatch &canDispatch);
    static std::uint64_t laneKey(const ModelQueue &model, const QueuedRequest &request);
    static void onBlocked(ModelQueue &model, TimePoint now);
    static void onRequestRemoved(ModelQueue &model, TimePoint now);
    static Duration backlogWait(const Offer &offer, std::int64_t extra);
    static Duration expectedWait(const Offer &offer, std::int64_t extra);
    Offer assess(const QueuedRequest &request, TimePoint now);
    static void applyReservations(Offer &offer);
    static Duration serviceTime(const Offer &offer);
    static Duration reserveRetry(const Offer &offer);
    static AdmissionDecision refuse(const Offer &offer, ResultCode code);
    QueueEntry &insert(const QueuedRequest &request);
    QueuedRequest eraseEntry(QueueEntry &entry);
    QueuedRequest removeEntry(QueueEntry &entry, TimePoint now);
    void collectExpired(TimePoint now);
    ExpiredRequest expireEntry(QueueEntry &entry, TimePoint now);

    QueueLimits limits_;
    bool isDraining_ = false;
    std::unordered_map<RequestId, QueueEntry> entries_; ///< Declared before the containers that link the entries, so that it is destroyed after them.
    Deadlines deadlines_;
    std::unordered_map<ModelId, ModelQueue> models_;
    std::vector<ModelQueue *> preferred_; ///< Models that `next` visits first, in order of creation.
    std::vector<ModelQueue *> modelOrder_; ///< The others in order of creation; `next` visits them round robin.
    std::size_t nextModel_ = 0;
    std::unordered_map<TeamId, std::size_t> teamSizes_;
    std::unordered_map<TeamId, double> weights_;
    std::vector<ExpiredRequest> expired_;
};

} // namespace Lovageloft
