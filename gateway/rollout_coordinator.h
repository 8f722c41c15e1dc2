#pragma once

#include <string>
#include <vector>

#include "coordination/rollout_leader.h"
#include "decision/exposure_pool.h"
#include "decision/rollout_evidence.h"
#include "decision/rollout_plan.h"
#include "gateway/rollout_messages.h"

namespace Lovageloft
{

/// The leader's part in the rollout of one service: gathers the reports of all hosts, decides by them, and grants requests to the ordered
/// version. For use on the event loop only.
class RolloutCoordinator
{
public:
    /// What the coordinator needs to know of its host at each call.
    struct Context
    {
        bool isLeading = false; ///< This host holds the leader lease and knows the operators' orders.
        TimePoint leaseUntil; ///< When its right to lead ends, unless renewed.
        ExposureLimits limits;
        std::size_t hosts = 1;
        std::size_t servingTargets = 0; ///< Of the version that serves.
        std::optional<std::string> servingVersion;
        Duration silentTime{}; ///< See RolloutLeader.
    };

    explicit RolloutCoordinator(std::string service);

    void setOrder(const SeenRolloutOrder &seen, TimePoint now);
    void removeOrder();
    void setRecord(const RolloutRecord &record, TimePoint now);
    void setHosts(const std::vector<std::string> &hosts, TimePoint now);

    /// Records a report; returns the answer to it, or nothing if the report is on another order.
    std::optional<RolloutReply> onReport(const std::string &host, RolloutReport &&report, const Context &context, TimePoint now);

    /// Judges what was reported; returns the record that is to be written to the store, if any.
    std::optional<RolloutRecord> step(const Context &context, TimePoint now);

    const RolloutLeader &leader() const;

private:
    RolloutPlan plan(const Context &context) const;
    int stage() const;

    std::string service_;
    RolloutLeader leader_{Duration::zero()};
    RolloutEvidence evidence_;
    ExposurePool pool_;
    std::uint32_t answersBefore_ = 0; ///< Answers of the version before the current stage.
    std::int64_t loggedPosition_ = 0;
};

} // namespace Lovageloft
