#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/rollout_messages.h"
#include "coordination/rollout_record.h"
#include "coordination/serving_versions.h"

namespace Lovageloft
{

/// Leads the rollout of one service on the host that holds the leader lease: decides which record is written next, and what other hosts are
/// granted. A state counts only once the store has acknowledged it. Whoever becomes leader first writes the record anew under a higher
/// position, so that a late write of an earlier leader fails. Not thread-safe.
class RolloutLeader
{
public:
    /// What is known from outside at a step.
    struct Facts
    {
        bool isLeading = false; ///< This host holds the lease, and has read the store since it got it.
        std::optional<std::string> servingVersion; ///< The one that serves, or served before the switch.
        bool isGood = false; ///< The version is to be taken.
        bool isBad = false; ///< The version is to be rolled back.
        bool mayAdvance = false; ///< The next stage is to begin.
        int lastStage = 0;
    };

    /// `silentTime`: a host that left the fleet, and last reported, so long ago has no requests running any more.
    explicit RolloutLeader(Duration silentTime);

    void setSilentTime(Duration time);

    /// Sets the order with its revision in the store. `seenAt`: when this host learned of it; nothing if it found it when it started.
    void setOrder(const RolloutOrder &order, std::int64_t revision, std::optional<TimePoint> seenAt, TimePoint now);

    /// The order was withdrawn.
    void removeOrder();

    /// Sets the record that the store holds, if it is newer than the known one.
    void setRecord(const RolloutRecord &record, TimePoint now);

    /// Sets the hosts of the fleet.
    void setHosts(const std::vector<std::string> &hosts, TimePoint now);

    void onReport(const std::string &host, const RolloutProgress &progress, TimePoint now);

    /// The record that is to be written, if any. It may be returned again until setRecord() was called with it or a newer one.
    std::optional<RolloutRecord> step(const Facts &facts, TimePoint now);

    /// Whether hosts may be granted requests to the ordered version: it is this leader's rollout and it is running.
    bool isExposing() const;

    /// Whether all hosts of the fleet have reported to this leader on the current order, or had time to.
    bool hasHeardAll(TimePoint now) const;

    /// Time since the order; the longest that any host knows of.
    Duration elapsed(TimePoint now) const;

    const std::optional<RolloutOrder> &order() const;
    std::int64_t orderRevision() const;
    const std::optional<RolloutRecord> &record() const;

private:
    struct Host
    {
        TimePoint lastSeenAt; ///< When it last reported or was in the fleet.
        std::int64_t position = 0;
        std::uint32_t otherInFlight = 0;
        bool isListed = false;
        bool hasReported = false; ///< On the current order.
    };

    bool isCurrent() const;
    bool isRenewed() const;
    bool isDrained(TimePoint now) const;
    RolloutRecord next(RolloutPhase phase, int stage, TimePoint now) const;

    Duration silentTime_;
    std::optional<RolloutOrder> order_;
    std::int64_t revision_ = 0;
    TimePoint orderedAt_; ///< The earliest time known.
    std::optional<RolloutRecord> record_;
    std::map<std::string, Host> hosts_;
    bool wasLeading_ = false;
    std::int64_t renewal_ = 0; ///< Position of the first record that this leader writes; 0 before.
    TimePoint leadingSince_;
    bool isFoundBad_ = false; ///< Nothing is granted any more, also while the store does not take the record.
};

} // namespace Lovageloft
