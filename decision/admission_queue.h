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

/// The limits of an admission queue; docs/design/queueing.md gives the reasons at length.
struct QueueLimits
{
    Duration maxWait = std::chrono::seconds(10); ///< A request that would wait longer is refused, whatever its own deadline.
    std::size_t maxRequests = 100'000; ///< Bounds memory: about 250 bytes a request, so 25 MB of a host's 256 MB.
    std::int64_t maxShortCost = 1'000; ///< Tokens up to which work is short: one cache block.
    std::int64_t quantum = 1'000; ///< Tokens a team gets each round: one cache block, the smallest piece engines work in.
    double initialRate = 20'000; ///< Tokens a second and model assumed until a backlog has been measured.
};

/// The answer to an offered request.
struct AdmissionDecision
{
    bool isAdmitted = false;
    Duration expectedWait{}; ///< Until an engine gets it; as far as known from what waits now.
    Reason reason; ///< Why it was refused.
    Duration retryAfter{}; ///< For refused ones: whole seconds, at least one. A caller that comes back then is served.
};

/// A request that waited and was given up: its caller is answered at once, with `not_run`.
struct ExpiredRequest
{
    QueuedRequest request;
    Reason reason;
    Duration retryAfter{}; ///< As in AdmissionDecision.
};

/// Decides which requests wait for an engine, in which order they leave, and which are refused at once.
///
/// Made for a host behind which engines are saturated: bursts, teams of unequal demand, prompts of 60,000 tokens beside
/// questions of 200. Each model has an order of service of its own, so a busy engine of one never holds up another.
/// The bound is the expected wait and not the length, since 100 short questions wait less than two chapters. Used by one
/// thread; opens nothing, reads no clock.
class AdmissionQueue
{
public:
    /// Whether some engine of the request's model has room in its window for it now.
    using CanDispatch = std::function<bool(const QueuedRequest &)>;

    explicit AdmissionQueue(const QueueLimits &limits = {});

    /// A team's part relative to the others', for example its configured rate over the mean rate. By default 1, range [0.01, 100].
    void setWeight(TeamId team, double weight);

    /// Tells that a model's engines can do `factor` times what they did, as (engines now) / (engines before); above 0.
    void scaleCapacity(ModelId model, double factor);

    /// Lets a request wait or refuses it: Draining, InvalidField (the id waits already), Overloaded (no memory), QueueFull
    /// (longer than the queue's longest wait) or DeadlineWouldPass. Its deadline is brought forward to the longest wait.
    AdmissionDecision offer(const QueuedRequest &request, TimePoint now);

    /// The request that goes to an engine now; nothing if each model's next request is refused by `canDispatch` or none
    /// waits. Never one whose deadline has passed. Call it until it returns nothing whenever a window opens (a first token
    /// or an end) or a request was admitted: a refused `canDispatch` is also how the queue learns that engines are saturated.
    std::optional<QueuedRequest> next(TimePoint now, const CanDispatch &canDispatch);

    /// Puts back a request from `next` that reached no engine. It is served first among its like and its team pays once.
    void requeue(const QueuedRequest &request, TimePoint now);

    /// Takes out all requests whose deadline has passed.
    std::vector<ExpiredRequest> expire(TimePoint now);

    /// When `expire` has something to do next, in the past if it has already; nothing if no request is here.
    std::optional<TimePoint> nextDeadline() const;

    /// Takes out a request whose caller has gone; false if it doesn't wait.
    bool cancel(RequestId id, TimePoint now);

    /// Takes out and returns all requests that match, as when a team or model leaves service. Walks over the whole queue.
    std::vector<QueuedRequest> removeIf(const std::function<bool(const QueuedRequest &)> &matches, TimePoint now);

    /// Takes out and returns what came with a key that has been withdrawn.
    std::vector<QueuedRequest> removeByKey(TeamId team, KeyId key, TimePoint now);

    /// Refuses all offers from now on; what waits is still served.
    void drain();

    std::size_t size() const;

    /// Requests of a team that wait, over all models.
    std::size_t size(TeamId team) const;

    /// Tokens that wait for a model.
    std::int64_t backlog(ModelId model) const;

    /// The measured rate of a model's engines as seen from this host, in tokens a second.
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
        std::unordered_map<std::uint64_t, ReservationBook> books; ///< By team and lane; only of those that were refused.
        TimePoint emptiedAt;
    };

    /// What the checks look at.
    struct Offer
    {
        const QueuedRequest &request;
        ModelQueue &model;
        ReservationBook *book = nullptr; ///< Null if nobody of its team and lane was refused.
        TimePoint now;
        Duration bound{}; ///< The longest wait this request may have.
        Duration waitByBacklog{}; ///< The wait expected from the order of service alone.
        Duration wait{}; ///< The wait expected.
        Duration waitBehindReserved{}; ///< The same if all callers whose reserved time has come were in the queue too.
        bool isReserved = false; ///< Came back at the time it was told.
    };

    using Check = ResultCode (AdmissionQueue::*)(const Offer &) const;
    static std::span<const Check> checks();

    ResultCode checkDraining(const Offer &offer) const;
    ResultCode checkId(const Offer &offer) const;
    ResultCode checkMemory(const Offer &offer) const;
    ResultCode checkWait(const Offer &offer) const;

    ModelQueue &modelQueue(ModelId model);
    static std::uint64_t bookKey(const ModelQueue &model, const QueuedRequest &request);
    static void onBlocked(ModelQueue &model, TimePoint now);
    static void afterRemoval(ModelQueue &model, TimePoint now);
    static Duration waitByBacklog(const Offer &offer, std::int64_t extra);
    static Duration expectedWait(const Offer &offer, std::int64_t extra);
    Offer assess(const QueuedRequest &request, TimePoint now);
    static void applyReservations(Offer &offer);
    static Duration serviceTime(const Offer &offer);
    static Duration reserveReturn(const Offer &offer);
    static AdmissionDecision refuse(const Offer &offer, ResultCode code);
    QueueEntry &insert(const QueuedRequest &request);
    QueuedRequest forget(QueueEntry &entry);
    QueuedRequest takeOut(QueueEntry &entry, TimePoint now);
    void collectExpired(TimePoint now);
    ExpiredRequest giveUp(QueueEntry &entry, TimePoint now);

    QueueLimits limits_;
    bool isDraining_ = false;
    std::unordered_map<RequestId, QueueEntry> entries_; ///< Before what links them, so that it outlives the links.
    Deadlines deadlines_;
    std::unordered_map<ModelId, ModelQueue> models_;
    std::vector<ModelQueue *> order_; ///< Models in the order of creation; `next` begins with another one each time.
    std::size_t nextModel_ = 0;
    std::unordered_map<TeamId, std::size_t> teamSizes_;
    std::unordered_map<TeamId, double> weights_;
    std::vector<ExpiredRequest> expired_;
};

} // namespace Lovageloft
