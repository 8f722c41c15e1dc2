#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/lease_holder.h"

/// Orders to engines: which weights, adapters and role each engine has to have. docs/design/orders.md explains the design.
namespace Lovageloft
{

/// One model of an engine. Empty fields of a desired model are left to the engine, and so are adapters that it does not list.
struct ModelState
{
    std::string name;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::optional<TimePoint> dueAt = std::nullopt; ///< Only in a desired state: deadline for reaching it, if there is one.
};

/// The state of an engine, either reported or desired. Models that a desired state does not list, and an empty role, are left to the engine.
struct EngineState
{
    std::vector<ModelState> models;
    std::string role;
    bool isLoading = false; ///< Only in a reported state: the engine is loading weights.
};

/// An engine and the state that it has to reach.
struct DesiredEngine
{
    std::string target;
    bool checksFencing = false; ///< Whether the engine refuses an order with an old fencing token.
    EngineState state;
    std::optional<EngineState> announced = std::nullopt; ///< State that the engine publishes by itself, if it does; saves reads. It lists all its models.
};

enum class OrderKind : std::uint8_t
{
    LoadWeights,
    LoadAdapter,
    SetRole,
};

/// One order. It names the state to reach, so it is idempotent.
struct Order
{
    std::uint64_t id = 0;
    std::string target;
    OrderKind kind = OrderKind::LoadWeights;
    std::string model; ///< With LoadWeights and LoadAdapter; otherwise empty.
    std::string value; ///< Weights version, adapter or role.
    std::int64_t fencingToken = 0;

    bool isSameAs(const Order &other) const
    {
        return target == other.target && kind == other.kind && model == other.model && value == other.value;
    }
};

enum class OrderOutcome : std::uint8_t
{
    Accepted,
    Refused,
    Fenced, ///< The engine has seen a newer fencing token.
    Lost, ///< No answer: the order may still arrive.
};

/// A model of an engine whose weights will soon be replaced: no new requests for it should be sent to that engine.
struct LoadNotice
{
    std::string target;
    std::string model;
};

/// The actions that are due.
struct OrderPlan
{
    std::vector<std::string> reads; ///< Targets whose state has to be read.
    std::vector<LoadNotice> loadNotices;
    std::vector<Order> orders;
    bool isSuperseded = false; ///< Another host leads: release the lease.
};

/// Limits and times of the order scheduler.
struct OrderOptions
{
    std::size_t maxLoads =
        3; ///< Concurrent weight loads; with more, the weight store slows all of them down. A deadline may require more; see ModelState::dueAt.
    double maxLoadFraction = 0; ///< Fraction of the engines that may load concurrently; the larger of this and `maxLoads` applies.
    Duration orderValidity = std::chrono::seconds(1); ///< Maximum time from the decision to the sending of an order.
    Duration answerTimeout = std::chrono::seconds(5); ///< Timeout for the answer to an order or a read.
    Duration loadTimeout = std::chrono::seconds(30); ///< How long a load counts as running if its end is not observed.
    Duration loadPollInterval = std::chrono::milliseconds(200); ///< Between reads of an engine that is loading.
    Duration initialRoundTime = std::chrono::seconds(2); ///< Assumed time from selecting an engine until it has loaded, before any is observed.
    Duration handoverDelay{}; ///< Delay after an order of another holder, for engines that do not check fencing tokens.
    TimePoint listeningSince{}; ///< When this host began to receive the orders of others; before that, any engine may have received one.
    Duration loadNotice{}; ///< Time between the notice of a load and its order; zero for no notice.
    Duration pollInterval = std::chrono::seconds(5); ///< Between reads of an engine in its desired state.
    Duration maxReportAge{}; ///< Maximum age of a reported state. An engine is not read for this time after an accepted order, whose effect may be missing.
    Duration retryDelay = std::chrono::seconds(1); ///< Before the same order is repeated; doubles with each repeat, up to 32 times this value.
};

/// Brings the engines to their desired states while this host holds the lease, and keeps them there.
///
/// Designed for a ticket that changes the version of all 18 engines, and for many engines that crash and restart empty. Without it all
/// engines would load at once and the weight store would slow each of them down, two hosts could give contradicting orders, and an
/// order of a paused host could revert a newer one. An engine executes one order at a time, so its models load one after the other, that
/// which has been outdated for longest first; one that the engine refuses does not hold back the others. Not thread-safe.
class OrderScheduler
{
public:
    explicit OrderScheduler(OrderOptions options = {});

    /// Sets the desired state of all engines; engines that are not listed get no orders.
    void setDesired(std::span<const DesiredEngine> desired, TimePoint now);

    /// Returns the actions that are due; none if the lease is not held.
    OrderPlan plan(const LeaseHolder &lease, TimePoint now);

    /// The last check before the first byte of an order is sent. If it returns false, the order must be dropped; plan() returns a new
    /// one if it is still needed.
    bool maySend(const Order &order, const LeaseHolder &lease, TimePoint now) const;

    /// Reports the outcome of an order that was sent; Lost for one that was dropped after maySend().
    void onOutcome(const Order &order, OrderOutcome outcome, TimePoint now);

    /// Reports that another lease holder has given an order to this engine, or is about to.
    void onOrderByOther(std::string_view target, TimePoint now);

    /// Reports the result of a read. Ignored if no read is pending, or if it was requested before the last order. For a read that failed
    /// nothing is reported; it is repeated after `answerTimeout`.
    void onState(std::string_view target, const EngineState &state, TimePoint now);

private:
    struct PendingOrder
    {
        Order order;
        TimePoint createdAt;
    };

    /// What the scheduler knows of the orders for one model of an engine, or for its role.
    struct OrderHistory
    {
        Order lastOrder;
        TimePoint nextRepeatAt; ///< When the last order may be repeated.
        int repeats = 0; ///< Of the last order, for the exponential backoff.
        std::optional<TimePoint> outdatedSince; ///< Since when it has not been in its desired state; kept if the desired state changes again.
    };

    /// A notice that has been sent, and whose order has not.
    struct SentNotice
    {
        std::string model;
        TimePoint sentAt;
    };

    struct Engine
    {
        DesiredEngine desired;
        EngineState observed;
        bool isObserved = false; ///< Read since the last order to the engine and since this host became leader.
        TimePoint readsValidSince; ///< Reads requested before this time are ignored.
        std::optional<TimePoint> readRequestedAt;
        TimePoint nextReadAt;
        std::map<std::string, OrderHistory, std::less<>> histories; ///< By model; the role's has an empty key.
        TimePoint loadingUntil; ///< Until when the engine counts as loading.
        std::optional<SentNotice> notice;
        std::optional<TimePoint> selectedAt; ///< When the engine was selected to load; reset once it has loaded.
        std::optional<TimePoint> orderedByOtherAt; ///< When another holder was last known to order this engine.
        std::optional<PendingOrder> pending;
    };

    void startLeading(std::int64_t token, TimePoint now);
    std::vector<Engine *> longestOutdatedFirst(TimePoint now);
    void planRead(Engine &engine, std::vector<std::string> &reads, TimePoint now) const;
    void planOrder(Engine &engine, const LeaseHolder &lease, OrderPlan &plan, std::size_t &loading, TimePoint now);
    bool prepareLoad(Engine &engine, const std::string &model, OrderPlan &plan, std::size_t &loading, TimePoint now) const;
    static std::vector<Order> requiredOrders(const Engine &engine);
    static void updateHistories(Engine &engine, TimePoint now);
    static std::optional<TimePoint> outdatedSince(const Engine &engine);
    std::size_t countLoads(TimePoint now) const;
    std::size_t maxConcurrentLoads(TimePoint now) const;
    bool isSettled(const Engine &engine, const LeaseHolder &lease, TimePoint now) const;
    void closeUnansweredOrders(TimePoint now);
    void closeOrder(Engine &engine, TimePoint now) const;
    void applyAnnounced(Engine &engine, TimePoint now);

    OrderOptions options_;
    std::map<std::string, Engine, std::less<>> engines_;
    std::int64_t token_ = 0;
    bool isSuperseded_ = false;
    std::uint64_t lastOrderId_ = 0;
    double roundSeconds_; ///< Moving average of the time from the selection of an engine until it has loaded.
    std::size_t maxConcurrentLoads_ = 0; ///< In the current call of plan().
};

} // namespace Lovageloft
