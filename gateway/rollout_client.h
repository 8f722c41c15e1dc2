#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "coordination/rollout_grants.h"
#include "decision/answer_counts.h"
#include "gateway/rollout_messages.h"

namespace Lovageloft
{

/// One host's part in the rollout of a service: sends as many requests to the ordered version as the leader grants, and counts the answers of
/// both versions. For use on the event loop only.
class RolloutClient
{
public:
    /// `process`: differs between two processes of this host.
    explicit RolloutClient(std::uint64_t process);

    /// Starts anew with another order.
    void setOrder(std::int64_t revision);

    /// A position of the rollout became known. Grants for lower ones are void.
    void onPosition(std::int64_t position);

    /// Counts a request of the service; returns whether it is to be sent to the ordered version.
    bool tryExpose(std::string_view route, TimePoint now);

    /// Whether a request may still be sent to the ordered version.
    bool mayExpose(TimePoint now) const;

    /// A request for which tryExpose() returned true was not sent to the ordered version.
    void refund(std::string_view route);

    /// An answer, or the lack of one, to the first send of a request.
    struct Observation
    {
        std::string_view route;
        std::string_view target;
        bool isCandidate = false; ///< The target is of the ordered version.
        enum class Outcome : std::uint8_t
        {
            Answered,
            Failed,
            LeftEarly, ///< The caller left before the answer was complete; counted only if it was slow by then.
        };
        Outcome outcome = Outcome::Answered;
        AnswerTimes times; ///< Those of a failure are ignored.
    };

    void observe(const Observation &observation);

    /// The counts so far, with a new id. The fields `service` and `progress` are left to the caller.
    RolloutReport makeReport(TimePoint now);

    /// Returns whether the set of excluded targets has changed.
    bool onReply(const RolloutReply &reply);

    /// Digests of the ordered version's targets that get no requests.
    const std::set<std::uint64_t> &excludedTargets() const;

    std::uint32_t exposed() const;

private:
    struct Route
    {
        RouteEvidence evidence;
        UsualTimes usual; ///< Of the version that serves.
    };

    std::uint64_t process_;
    RolloutGrants grants_;
    ExposureBudget budget_;
    std::map<std::uint64_t, Route> routes_; ///< By digest of the route's name.
    std::map<std::uint64_t, TargetEvidence> targets_; ///< By digest of the target's id.
    std::set<std::uint64_t> excluded_;
};

/// The digest of a route's name or a target's id in reports.
std::uint64_t rolloutDigest(std::string_view name);

} // namespace Lovageloft
