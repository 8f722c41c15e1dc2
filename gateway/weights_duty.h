#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include "coordination/candidacy.h"
#include "coordination/lease_holder.h"
#include "coordination/order_scheduler.h"
#include "gateway/duty.h"
#include "gateway/engine_control.h"
#include "gateway/target.h"
#include "gateway/weights_records.h"

namespace Lovageloft
{

/// Orders the engines to load the weights that operators published. Runs on the host that holds the leader lease.
///
/// Each order carries the engine's id and the number of orders that the engine has accepted so far. An order whose response was lost may
/// be executed seconds later, after a newer one, and would return the engine to older weights. The engine rejects it because the number no
/// longer matches.
class WeightsDuty final : public Duty
{
public:
    struct Options
    {
        std::string leaderKey;
        std::string holder; ///< Value of the leader key: "HOST/...", unique to this process. HostDuty reads the host from it.
        std::string holderName; ///< Name of this host, as sent to engines.
        LeaseOptions lease;
        bool enginesCheckFencing = true; ///< Engines reject orders with an older fencing token than they have seen; otherwise a new leader waits first.
        OrderOptions orders;
        std::string recordsPrefix; ///< Key prefix for WeightsRecords.
        Duration deadline{}; ///< Time after the publication of weights from which no request may begin on older ones.
        /// Called some time before an engine is ordered to load, and again immediately before; the order need not follow. Called from several
        /// threads at once.
        std::function<void(const LoadNotice &notice)> beforeLoad;
    };

    WeightsDuty(Store &store, const EngineControlFormat &format, Options options);

    /// This and the following functions are thread-safe.

    /// Until when this host may act as leader; in the past if it is not the leader.
    TimePoint leaseUntil() const;

    void setTargets(std::shared_ptr<const TargetMap> targets);

    /// Sets the newest weights of each model, with the known or estimated publication time.
    void setPublishedWeights(const std::vector<PublishedWeights> &weights);

    /// Records that another host ordered this engine to load, or is about to.
    void onOrderByOther(const std::string &targetId);

    /// Sets the host that holds the leader key; empty if there is none.
    void setLeader(const std::string &host);

    /// Sets whether this host reaches the engines. While it doesn't, it is not leader.
    void setCanOrder(bool canOrder);

    /// Sets the hosts that are preferred as leader, and the total number of hosts.
    void setHosts(const std::vector<std::string> &candidates, std::size_t hosts);

private:
    void run() override;
    void step();
    void stepLease();
    void resign();
    void updateDesired();
    DesiredEngine desiredEngine(const Target &target, const std::map<std::string, PublishedWeights> &published) const;
    void recordPublished();

    /// Result of sending an order.
    struct SentOrder
    {
        OrderOutcome outcome = OrderOutcome::Lost;
        int status = 0; ///< HTTP status of the engine's response; 0 without one.
        std::int64_t acceptedBefore = -1; ///< Orders that the engine had accepted before; -1 if unknown.
    };

    /// Runs `call` for each item, several in parallel, then `onResult` with each result on this thread.
    template <typename Item, typename Result>
    void callEngines(std::span<const Item> items, Result (WeightsDuty::*call)(const Item &) const, void (WeightsDuty::*onResult)(const Item &, const Result &));

    SentOrder sendOrder(const Order &order) const;
    void onOrderSent(const Order &order, const SentOrder &sent);
    std::optional<EngineState> readState(const std::string &targetId) const;
    void onStateRead(const std::string &targetId, const std::optional<EngineState> &state);
    std::optional<EngineReport> fetchReport(const Target &target) const;
    void logLeadershipChange(TimePoint now);

    Store &store_;
    const EngineControlFormat &format_;
    Options options_;
    LeaseHolder lease_;
    OrderScheduler scheduler_;
    WeightsRecords records_;
    std::mutex mutex_;
    std::shared_ptr<const TargetMap> targets_ = std::make_shared<TargetMap>();
    std::map<std::string, PublishedWeights> published_; ///< The newest version of each model.
    std::vector<std::string> orderedByOthers_; ///< Not yet passed to `scheduler_`.
    bool hasChanged_ = false;
    Candidacy candidacy_;
    std::shared_ptr<const TargetMap> currentTargets_; ///< The targets that the duty's thread works with.
    bool hasPolledLease_ = false; ///< Whether this process has read the leader key at least once.
    bool wasLeader_ = false;
    std::atomic<bool> canOrder_ = true;
    std::atomic<TimePoint> leaseUntil_ = TimePoint{};
};

} // namespace Lovageloft
