#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "decision/rollout_plan.h"

namespace Lovageloft
{

/// How answers of a version go wrong, and what else happens meanwhile.
struct RolloutFaults
{
    double failedShare = 0; ///< Of the candidate's answers.
    double slowShare = 0; ///< Of the candidate's answers; they take four times as long.
    Duration from{}; ///< When the candidate turns bad, from the order on.
    std::optional<std::size_t> onlyRoute = std::nullopt; ///< Only answers on this route are bad.
    bool onlyUnderLoad = false; ///< Only answers of a target with half of its usual load or more are bad.
    double brokenTargetShare = 0; ///< Share of failures at one target of the candidate.
    Duration crashAt{}; ///< When all that runs at one target of the candidate fails; 0: never.
    Duration troubleFrom{}; ///< Start of trouble that hits both versions for 4 s; 0: none.
    double troubleSlow = 0; ///< Share of all answers that take four times as long in that time.
    double troubleFailed = 0; ///< Share of all answers that fail in that time.
    double troubleFactor = 1; ///< Factor of all times in that time.
};

/// The load of a service and its rollout.
struct RolloutLoad
{
    std::size_t hosts = 90;
    std::vector<double> routeRates; ///< Requests a second, by route.
    std::size_t targets = 60; ///< Of each version.
    double answerSeconds = 0.2; ///< Usual time of an answer.
    Duration duration{}; ///< From the order to its deadline.
    ExposureLimits limits{0.1, 50, std::chrono::seconds(5)};
};

struct RolloutResult
{
    bool isCompleted = false;
    Duration endedAfter{}; ///< From the order to the decision.
    std::uint32_t requests = 0; ///< Until the last one that was sent to the candidate.
    std::uint32_t exposed = 0; ///< Requests sent to the candidate before the decision took effect.
    std::uint32_t badAnswers = 0; ///< Bad answers of the candidate in all.
    Duration sentAfterFiftieth{}; ///< From the candidate's 50th bad answer to the last request sent to it; zero if there were fewer.
};

/// Plays a rollout against a model of the service in virtual time, up to the decision. The hosts are merged into one with their whole traffic, whose
/// reports and grants are as late as those of a fleet of the given size.
RolloutResult playRollout(const RolloutLoad &load, const RolloutFaults &faults, std::uint64_t seed);

} // namespace Lovageloft
