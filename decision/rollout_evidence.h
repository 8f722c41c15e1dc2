#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision/version_judge.h"

namespace Lovageloft
{

/// What one host counted on one route since it learned of a rollout.
struct RouteEvidence
{
    std::uint64_t route = 0; ///< Digest of the route's name.
    AnswerCounts serving;
    AnswerCounts candidate;
};

/// What one host counted at one target of the version that is moved to.
struct TargetEvidence
{
    std::uint64_t target = 0; ///< Digest of the target's name.
    std::uint32_t answers = 0;
    std::uint32_t bad = 0; ///< Failures, and answers that took at least twice as long as usual.
};

/// Evidence of one host; all counts are since it learned of the rollout.
struct HostEvidence
{
    std::uint64_t process = 0; ///< Differs between two processes of a host, which count apart.
    std::vector<RouteEvidence> routes;
    std::vector<TargetEvidence> targets;
};

/// The evidence of all hosts on the version that a service is moved to, and its judgement. Bad answers that come from a single target of
/// several are taken for a fault of that target, which is then excluded.
class RolloutEvidence
{
public:
    /// Replaces what the host reported before.
    void setHost(const std::string &host, HostEvidence &&evidence);

    /// Judges the sum of what the hosts reported. Returns a target that was excluded by this.
    std::optional<std::uint64_t> judge();

    /// See VersionJudge::level().
    double level() const;

    /// All answers of the version so far.
    std::uint32_t answers() const;

    /// Answers of the version since a target was last excluded.
    std::uint32_t recentAnswers() const;

    const std::set<std::uint64_t> &excludedTargets() const;

private:
    std::optional<std::uint64_t> findFaultyTarget(double usualShare) const;

    VersionJudge judge_;
    std::map<std::string, HostEvidence> hosts_;
    std::map<std::uint64_t, RouteEvidence> ended_; ///< Counts of processes that were replaced, by route.
    std::set<std::uint64_t> excluded_;
    std::uint32_t answers_ = 0;
    std::uint32_t answersBefore_ = 0; ///< When a target was last excluded.
};

} // namespace Lovageloft
