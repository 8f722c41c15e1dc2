#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/lease_holder.h"

/// Orders to engines: which weights, adapters and role each of them is to have. docs/design/orders.md has the reasons.
namespace Lovageloft
{

/// What an engine runs, as it reports it, or what it is to run; then empty fields leave the engine's choice alone.
struct EngineState
{
    std::string model;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::string role;
    bool isLoading = false; ///< Reported only: it is loading weights now.
};

struct DesiredEngine
{
    std::string target;
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing token.
    EngineState state;
    std::optional<EngineState> announced = std::nullopt; ///< What it says of itself without being asked, where it does; spares reads.
    std::optional<TimePoint> dueAt = std::nullopt; ///< When it has to be as wanted, where there is such a time.
};

enum class OrderKind : std::uint8_t
{
    LoadWeights,
    LoadAdapter,
    SetRole,
};

/// One order. It names the state to reach, so that carrying it out twice is harmless.
struct Order
{
    std::uint64_t id = 0;
    std::string target;
    OrderKind kind = OrderKind::LoadWeights;
    std::string model; ///< With LoadWeights and LoadAdapter.
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
    Lost, ///< No answer: it may arrive yet.
};

/// What to do now.
struct OrderPlan
{
    std::vector<std::string> reads; ///< Targets whose state is to be read.
    std::vector<std::string> loadNotices; ///< Targets that will be ordered to load soon: nothing new is to be sent to them.
    std::vector<Order> orders;
    bool isSuperseded = false; ///< Release the lease: another host leads.
};

struct OrderOptions
{
    std::size_t maxLoads = 3; ///< Weight loads at once; the weight store slows all of them down beyond that.
    double maxLoadFraction = 0; ///< Part of the engines that may load at once where that is more than `maxLoads`.
    Duration orderValidity = std::chrono::seconds(1); ///< From the decision to the sending.
    Duration answerTimeout = std::chrono::seconds(5); ///< Wait for an answer to an order or a read.
    Duration loadTimeout = std::chrono::seconds(30); ///< A load not seen to end counts that long.
    Duration loadPollInterval = std::chrono::milliseconds(200); ///< Between looks at an engine that is loading.
    Duration initialRoundTime = std::chrono::seconds(2); ///< From the choice of an engine until it has loaded, before any was seen.
    Duration handoverDelay{}; ///< After another holder's order to an engine that doesn't check tokens.
    TimePoint listeningSince{}; ///< Since when orders of others are heard; before that any engine may have got one.
    Duration loadNotice{}; ///< Between the notice that an engine is going to load and the order; zero for no notice.
    Duration pollInterval = std::chrono::seconds(5); ///< Between looks at an engine that is as wanted.
    Duration maxReportAge{}; ///< How old what an engine reports may be: a report that soon after an order still shows the state before.
    Duration retryDelay = std::chrono::seconds(1); ///< Before the same order is given again; doubles up to 32 times.
};

/// Brings the engines to the configured state while this host holds the lease, and keeps them there.
///
/// The load it is made for: a ticket changes the version of all 18 engines, or many engines crash and come back empty.
/// The harm prevented: all load at once and the weight store slows each of them down; two hosts give opposite orders;
/// an order of a paused host undoes a newer one. Not thread-safe: one duty owns it.
class OrderScheduler
{
public:
    explicit OrderScheduler(OrderOptions options = {});

    /// The whole configured state; engines not named get no orders.
    void setDesired(std::span<const DesiredEngine> desired, TimePoint now);

    /// What is due. Without the lease nothing is.
    OrderPlan plan(const LeaseHolder &lease, TimePoint now);

    /// The last check before an order's first byte leaves. False: drop it; a new one comes if it is still needed.
    bool maySend(const Order &order, const LeaseHolder &lease, TimePoint now) const;

    /// How an order that was sent, or dropped after maySend() (Lost), ended.
    void onOutcome(const Order &order, OrderOutcome outcome, TimePoint now);

    /// Another holder has ordered, or is about to order, this engine.
    void onOrderByOther(std::string_view target, TimePoint now);

    /// The answer to a read.
    void onState(std::string_view target, const EngineState &state, TimePoint now);

private:
    struct PendingOrder
    {
        Order order;
        TimePoint createdAt;
    };

    struct Engine
    {
        DesiredEngine desired;
        EngineState observed;
        bool isObserved = false; ///< Read since the last order to it and since this host leads.
        TimePoint readsValidSince; ///< A read asked for before this tells nothing.
        std::optional<TimePoint> readRequestedAt;
        TimePoint nextReadAt;
        Order lastOrder;
        TimePoint nextRepeatAt; ///< When the last order may be given again.
        TimePoint loadingUntil;
        std::optional<TimePoint> noticeSentAt; ///< When the notice of the load that is due went out.
        std::optional<TimePoint> selectedAt; ///< When it got its turn to load; until it has loaded.
        std::optional<TimePoint> orderedByOtherAt; ///< When another holder was last heard to order it.
        std::optional<TimePoint> outdatedSince; ///< Since when it has not been as wanted; kept while what is wanted changes again.
        std::optional<PendingOrder> pending;
        int repeats = 0;
    };

    void startLeading(std::int64_t token, TimePoint now);
    std::vector<Engine *> longestOutdatedFirst(TimePoint now);
    void planRead(Engine &engine, std::vector<std::string> &reads, TimePoint now) const;
    void planOrder(Engine &engine, const LeaseHolder &lease, OrderPlan &plan, std::size_t &loading, TimePoint now);
    bool prepareLoad(Engine &engine, OrderPlan &plan, std::size_t &loading, TimePoint now) const;
    std::optional<Order> requiredOrder(const Engine &engine) const;
    std::size_t countLoads(TimePoint now) const;
    std::size_t maxConcurrentLoads(TimePoint now) const;
    bool isSettled(const Engine &engine, const LeaseHolder &lease, TimePoint now) const;
    void closeOrder(Engine &engine, TimePoint now) const;
    void applyAnnounced(Engine &engine, TimePoint now);

    OrderOptions options_;
    std::map<std::string, Engine, std::less<>> engines_;
    std::int64_t token_ = 0;
    bool isSuperseded_ = false;
    std::uint64_t lastOrder_ = 0;
    double roundSeconds_; ///< Mean of the last rounds seen, each from the choice of an engine until it had loaded.
    std::size_t maxConcurrentLoads_ = 0; ///< As of this plan.
};

} // namespace Lovageloft
