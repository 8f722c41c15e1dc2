#include "decision/rollout_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Part of the allowed exposure that is used.
constexpr double usedPart = 0.8;

/// Shares of the stages as parts of the largest one.
constexpr std::array<double, RolloutPlan::stageCount> stageParts{0.125, 0.25, 0.5, 1};

/// Answers of a version in one stage before the next one begins.
constexpr std::uint32_t answersPerStage = 25;

/// Answers of a version without which it is not taken.
constexpr std::uint32_t minAnswers = 20;

/// Part of the slack that may be used from the start.
constexpr double earlySlack = 0.25;

/// The levels of the judge above which no further stage begins, and no version is taken.
constexpr double doubtLevel = 0.4;
constexpr double maxLevelOfGood = 0.25;

/// Targets of a version that get requests at least, to tell a fault of one target from one of the version.
constexpr std::size_t minTargets = 3;

/// The first stage with bursts, and the longest time from one to the next.
constexpr int firstBurstStage = 2;
constexpr Duration maxBurstPeriod = std::chrono::seconds(2);

/// Part of the duration that is left when the rollout has ended.
constexpr double endMargin = 0.1;

/// Longest time to move all traffic and let running requests end, and its part of a short duration.
constexpr Duration maxMoveTime = std::chrono::milliseconds(6'500);
constexpr double maxMovePart = 0.3;

constexpr Duration minReportInterval = std::chrono::milliseconds(250);

/// Reports that the leader receives a second, from all hosts together.
constexpr double reportsPerSecond = 500;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

RolloutPlan::RolloutPlan(const ExposureLimits &limits, Duration duration, std::size_t hosts)
    : limits_(limits)
    , duration_(duration)
    , hosts_(std::max<std::size_t>(hosts, 1))
{
}

double RolloutPlan::share(int stage) const
{
    return limits_.share * usedPart * stageParts[static_cast<std::size_t>(std::clamp(stage, 0, stageCount - 1))];
}

double RolloutPlan::slack(Duration elapsed) const
{
    const double time = std::clamp(toSeconds(elapsed) / std::max(toSeconds(decideAt()), 1e-3), 0.0, 1.0);
    const double released = earlySlack + (1 - earlySlack) * std::max(0.0, 2 * time - 1);
    return std::max(limits_.slack, 0.0) * usedPart * released;
}

std::size_t RolloutPlan::targetCount(int stage, std::size_t serving) const
{
    return std::max(minTargets, static_cast<std::size_t>(std::ceil(share(stage) * static_cast<double>(serving))));
}

bool RolloutPlan::isHeld(int stage, std::size_t serving, Duration elapsed) const
{
    const double load = share(stage) * static_cast<double>(serving) / static_cast<double>(targetCount(stage, serving));
    const Duration lastBurst = decideAt() * 7 / 8;
    if (stage < firstBurstStage || load >= 0.5 || elapsed >= lastBurst) {
        return false;
    }
    const Duration period = std::min(scaled(reportInterval(), 1 / std::max(load, 1e-3)), maxBurstPeriod);
    return elapsed % period >= reportInterval();
}

bool RolloutPlan::mayAdvance(int stage, const Progress &progress) const
{
    if (stage + 1 >= stageCount || progress.level >= doubtLevel || progress.elapsed >= decideBy()) {
        return false;
    }
    const Duration latest = decideAt() * (stage + 1) / (2 * stageCount);
    return progress.stageAnswers >= answersPerStage || progress.elapsed >= latest;
}

RolloutPlan::Outcome RolloutPlan::outcome(const Progress &progress) const
{
    if (progress.level >= 1) {
        return Outcome::Bad;
    }
    if (progress.elapsed < decideAt()) {
        return Outcome::Undecided;
    }
    const bool isConvincing = progress.answers >= minAnswers && progress.level < maxLevelOfGood;
    if (isConvincing) {
        return Outcome::Good;
    }
    return progress.elapsed < decideBy() ? Outcome::Undecided : Outcome::Bad;
}

Duration RolloutPlan::grantTime() const
{
    return std::min(3 * reportInterval(), limits_.rollback / 3);
}

Duration RolloutPlan::reportInterval() const
{
    return std::max(minReportInterval, fromSeconds(static_cast<double>(hosts_) / reportsPerSecond));
}

/// When a version that answers well is taken.
Duration RolloutPlan::decideAt() const
{
    return scaled(duration_, 1 - endMargin) - std::min(maxMoveTime, scaled(duration_, maxMovePart));
}

/// When a version that has not been taken is rolled back.
Duration RolloutPlan::decideBy() const
{
    return scaled(duration_, 1 - endMargin) - std::min(maxMoveTime, scaled(duration_, maxMovePart)) / 2;
}

} // namespace Lovageloft
