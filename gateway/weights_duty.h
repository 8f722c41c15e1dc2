#pragma once

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

/// Brings the engines to the weights that operators named, on the one host that holds the lease.
///
/// Every order names the engine and the number of orders that it has accepted: an order whose answer was lost may be carried out
/// seconds later, after a newer one, and would take the engine back; with the number it is refused then.
class WeightsDuty final : public Duty
{
public:
    struct Options
    {
        std::string leaderKey;
        std::string holder; ///< Differs from that of every other process.
        std::string holderName; ///< The host, as engines are told.
        LeaseOptions lease;
        bool enginesCheckFencing = true;
        OrderOptions orders;
        std::string recordsPrefix; ///< Of the keys of weights that were named lately.
        Duration deadline{}; ///< After weights were named, from when on no engine serves older ones.
        std::function<void(const std::string &targetId)> beforeLoad; ///< Called some time before an engine is ordered to load, and again right before.
    };

    WeightsDuty(Store &store, const EngineControlFormat &format, Options options);

    /// For any thread.
    void setTargets(std::shared_ptr<const TargetMap> targets);

    /// The newest weights of each model, with `publishedAt` as this host reckons it.
    void setPublishedWeights(const std::vector<PublishedWeights> &weights);

    /// Another host was heard to order this engine, or to be about to.
    void onOrderByOther(const std::string &targetId);

    /// The host that holds the leader's key; empty if nobody does.
    void setLeader(const std::string &host);

    /// The hosts among which the leader is chosen first, and how many there are in all.
    void setHosts(const std::vector<std::string> &candidates, std::size_t hosts);

private:
    void run() override;
    void step();
    void stepLease();
    void updateWanted();
    void recordNamed();

    /// What came of sending an order.
    struct SentOrder
    {
        OrderOutcome outcome = OrderOutcome::Lost;
        int status = 0; ///< Of the engine's answer; 0 without one.
        std::int64_t acceptedBefore = -1; ///< Orders that the engine had accepted; -1 if it did not tell.
    };

    /// Calls the engine of each item, some at the same time, and takes what came of it.
    template <typename Item, typename Result>
    void callEngines(std::span<const Item> items, Result (WeightsDuty::*call)(const Item &) const, void (WeightsDuty::*take)(const Item &, const Result &));

    SentOrder send(const Order &order) const;
    void takeSent(const Order &order, const SentOrder &sent);
    std::optional<EngineState> read(const std::string &targetId) const;
    void takeState(const std::string &targetId, const std::optional<EngineState> &state);
    std::optional<EngineReport> report(const Target &target) const;
    void noteLeadership(TimePoint now);

    Store &store_;
    const EngineControlFormat &format_;
    Options options_;
    LeaseHolder lease_;
    OrderScheduler scheduler_;
    WeightsRecords records_;
    std::mutex mutex_;
    std::shared_ptr<const TargetMap> targets_ = std::make_shared<TargetMap>();
    std::map<std::string, PublishedWeights> named_; ///< The newest of each model.
    std::vector<std::string> orderedByOthers_; ///< Heard, not taken yet.
    bool isChanged_ = false;
    Candidacy candidacy_;
    std::shared_ptr<const TargetMap> current_; ///< This thread's own view.
    bool hasStood_ = false; ///< Has looked at the leader's key.
    bool wasHeld_ = false;
};

} // namespace Lovageloft
