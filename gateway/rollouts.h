#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/rollout_client.h"
#include "gateway/rollout_coordinator.h"
#include "gateway/version_guard.h"

namespace Lovageloft
{

/// The rollouts of all services on one host: this host's part in each, and the leader's part if this host is the leader. For use on the event
/// loop only.
class Rollouts
{
public:
    /// How the rollouts act on the rest of the host. All must be set.
    struct Links
    {
        std::function<void(const std::string &host, const RolloutReport &)> sendReport;

        /// Called with the ids of the targets that get only requests for which tryExpose() was true, whenever they change.
        std::function<void(const std::set<std::string, std::less<>> &)> onCandidates;

        /// Counts the requests of a service that run at targets of other versions than the given one.
        std::function<std::uint32_t(std::string_view service, std::string_view version)> countOthers;
    };

    /// `versions` must outlive this object.
    Rollouts(std::string hostName, VersionGuard &versions, Links links);

    /// Writes a record to the store; setRecord() is to be called once the store has it.
    using RecordWriter = std::function<void(const std::string &service, const RolloutRecord &)>;

    /// This and the next function must be called before the event loop runs, on hosts that may become leader.
    void setWriter(RecordWriter writer);

    /// Sets the function that tells until when this host may act as leader.
    void setLeaseClock(std::function<TimePoint()> leaseUntil);

    void setLimits(const ExposureLimits &limits);

    /// `silentTime`: a host that left the fleet so long ago has no requests running any more.
    void setSilentTime(Duration time);

    void setHosts(const std::vector<std::string> &hosts);
    void setLeader(const std::string &host);

    /// The operators' orders that the store held when this host started are known.
    void setOrdersKnown();

    void setOrder(const std::string &service, const SeenRolloutOrder &seen);
    void removeOrder(const std::string &service);

    /// Applies a record that the store holds.
    void setRecord(const std::string &service, const RolloutRecord &record);

    /// To be called after the list of targets has changed. The ordered version has candidates once it is not new any more.
    void updateCandidates();

    /// Sends reports and, on the leader, decides; to be called several times a second.
    void tick(TimePoint now);

    /// Another host's report; nothing if it can't be answered.
    std::optional<RolloutReply> onReport(const std::string &host, RolloutReport &&report);
    void onReply(const RolloutReply &reply);

    /// The part of this host in the rollout of a service while the ordered version is being tried; null otherwise.
    RolloutClient *running(std::string_view service);

    /// Whether a target is of the version that its service is to be moved to.
    bool isCandidate(const Target &target) const;

    /// The state of one service's rollout, for operators.
    struct Status
    {
        std::string_view service;
        std::string_view version; ///< The ordered one.
        std::string_view phase;
        int stage = 0;
        std::int64_t position = 0;
        std::uint32_t exposed = 0; ///< Requests that this host sent to the ordered version.
    };

    std::vector<Status> status() const;

private:
    struct Service
    {
        Service(const std::string &name, std::uint64_t process);

        std::optional<SeenRolloutOrder> order; ///< Only one that can be read.
        std::optional<RolloutRecord> record;
        RolloutClient client;
        RolloutCoordinator coordinator;
        TimePoint nextReport;
    };

    Service &serviceOf(const std::string &name);
    static bool isRunning(const Service &service);
    RolloutCoordinator::Context contextOf(const std::string &name) const;
    RolloutPlan planOf(const Service &service) const;
    void report(const std::string &name, Service &service, TimePoint now);

    std::string hostName_;
    VersionGuard &versions_;
    Links links_;
    RecordWriter writer_ = [](const std::string &, const RolloutRecord &) {};
    std::function<TimePoint()> leaseUntil_ = [] { return TimePoint{}; };
    ExposureLimits limits_;
    Duration silentTime_{};
    std::vector<std::string> hosts_;
    std::string leader_;
    bool areOrdersKnown_ = false;
    std::uint64_t process_; ///< Differs between two processes of this host.
    std::map<std::string, Service, std::less<>> services_;
    std::set<std::string, std::less<>> candidates_; ///< As last passed to the link.
};

} // namespace Lovageloft
