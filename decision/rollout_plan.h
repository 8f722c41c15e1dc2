#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// What operators allow a bad version to get between the order of its rollout and the deadline.
struct ExposureLimits
{
    double share = 0; ///< Of all requests that reach the service.
    double slack = 0; ///< Requests in addition, over all hosts.
    Duration rollback{}; ///< From the answer that shows a bad version to the last request sent to it.
};

/// When a rollout goes on to its next stage and when its outcome is decided.
///
/// A version gets requests in stages of growing share, the last of which is four fifths of the allowed one. The decision comes as late as the
/// move of all traffic allows, as some versions turn bad late.
class RolloutPlan
{
public:
    static constexpr int stageCount = 4;

    /// `duration`: from the order to the deadline; `hosts`: hosts that serve, at least 1.
    RolloutPlan(const ExposureLimits &limits, Duration duration, std::size_t hosts);

    /// The share of a service's requests that the version gets in a stage, from 0 to `stageCount` - 1.
    double share(int stage) const;

    /// Requests that the version may get in addition, over all hosts, from the order until `elapsed` after it. Most are kept for the time just
    /// before the decision.
    double slack(Duration elapsed) const;

    /// How many targets of the version get requests in a stage, so that each has about the load of one that serves. `serving`: targets that
    /// serve now.
    std::size_t targetCount(int stage, std::size_t serving) const;

    /// Whether requests to the version are held back at a time after the order. If the share is too small for the usual load of even two
    /// targets, it is saved up and sent in short bursts, as some versions are bad under load only.
    bool isHeld(int stage, std::size_t serving, Duration elapsed) const;

    /// The evidence when a stage may end.
    struct Progress
    {
        Duration elapsed{}; ///< Since the order.
        std::uint32_t stageAnswers = 0; ///< Of the version, in this stage.
        std::uint32_t answers = 0; ///< Of the version, since the judge last started again.
        double level = 0; ///< VersionJudge::level().
    };

    /// Whether the next stage may begin: the version has answered often enough, or the time left requires it, and nothing speaks against it.
    bool mayAdvance(int stage, const Progress &progress) const;

    enum class Outcome : std::uint8_t
    {
        Undecided,
        Good,
        Bad,
    };

    /// The outcome by the evidence of all stages. Without enough answers, or with a doubt, the version that serves is kept in the end.
    Outcome outcome(const Progress &progress) const;

    /// How long a grant to send to the version is valid, and how often hosts report and ask for the next one. A request is then sent no later
    /// than the allowed time after the answer that shows a bad version.
    Duration grantTime() const;
    Duration reportInterval() const;

private:
    Duration decideAt() const;
    Duration decideBy() const;

    ExposureLimits limits_;
    Duration duration_;
    std::size_t hosts_;
};

} // namespace Lovageloft
