#include "decision/version_judge.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// Logarithm of the likelihood ratio at which a version counts as bad.
constexpr double maxLogRatio = 12;

/// Smallest excess over the usual share of bad answers that is looked for.
constexpr double minExcess = 0.08;

/// Excess that is assumed before the version's own answers tell more.
constexpr double assumedExcess = 0.2;

/// Answers that the assumption weighs as much as.
constexpr double answersOfAssumption = 10;

constexpr double maxShare = 0.95;

/// A share of the serving version's answers up to this size may count as slow.
constexpr double maxUsualSlow = 0.03;

/// Weight of earlier answers of the serving version at each update, for a memory of some ten updates.
constexpr double usualDecay = 0.9;

/// Assumed answers of the serving version before any is known, and how many of them are bad.
constexpr double priorAnswers = 30;
constexpr double priorBad = 0.5;

std::uint32_t grown(std::uint32_t now, std::uint32_t before)
{
    return now - std::min(now, before);
}

} // namespace

void RatioTest::add(std::uint32_t bad, std::uint32_t good, double usualShare)
{
    // Only earlier answers are used: the ratio would not be one of likelihoods if it depended on the answers that it is computed for.
    const double estimate = (bad_ + answersOfAssumption * (usualShare + assumedExcess)) / (total_ + answersOfAssumption);
    const double badShare = std::min(std::max(estimate, usualShare + minExcess), maxShare);
    sum_ += bad * std::log(badShare / usualShare) + good * std::log((1 - badShare) / (1 - usualShare));
    bad_ += bad;
    total_ += bad + good;
    if (sum_ <= 0) {
        restart();
    }
}

double RatioTest::level() const
{
    return sum_ / maxLogRatio;
}

void RatioTest::restart()
{
    *this = RatioTest();
}

void VersionJudge::update(std::uint64_t id, const AnswerCounts &serving, const AnswerCounts &candidate)
{
    Route &route = routes_[id];
    const bool isNewStart = serving.total() < route.serving.total() || candidate.total() < route.candidate.total();
    if (!isNewStart) {
        route.usual = usualDecay * route.usual + grown(serving.total(), route.serving.total());
        route.usualFailed = usualDecay * route.usualFailed + grown(serving.failed, route.serving.failed);
        for (std::size_t i = 0; i < AnswerCounts::bucketCount; ++i) {
            route.usualAnswered[i] = usualDecay * route.usualAnswered[i] + grown(serving.answered[i], route.serving.answered[i]);
        }
        const std::size_t slow = slowFrom(route);
        double usualBad = route.usualFailed;
        for (std::size_t i = slow; i < AnswerCounts::bucketCount; ++i) {
            usualBad += route.usualAnswered[i];
        }
        const double usualShare = std::min((usualBad + priorBad) / (route.usual + priorAnswers), maxShare - minExcess);
        const std::uint32_t bad = grown(candidate.failed, route.candidate.failed) + grown(candidate.slowerFrom(slow), route.candidate.slowerFrom(slow));
        const std::uint32_t all = grown(candidate.total(), route.candidate.total());
        route.test.add(std::min(bad, all), all - std::min(bad, all), usualShare);
    }
    route.serving = serving;
    route.candidate = candidate;
}

/// The first bucket that counts as slow: only few answers of the serving version lie in it and the slower ones.
std::size_t VersionJudge::slowFrom(const Route &route)
{
    std::size_t slow = AnswerCounts::bucketCount;
    double tail = 0;
    while (slow > firstSlowBucket && tail + route.usualAnswered[slow - 1] <= maxUsualSlow * route.usual) {
        --slow;
        tail += route.usualAnswered[slow];
    }
    return slow;
}

double VersionJudge::level() const
{
    double highest = 0;
    for (const auto &[id, route] : routes_) {
        highest = std::max(highest, route.test.level());
    }
    return highest;
}

void VersionJudge::restart()
{
    for (auto &[id, route] : routes_) {
        route.test.restart();
    }
}

} // namespace Lovageloft
