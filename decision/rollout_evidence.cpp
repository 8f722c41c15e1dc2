#include "decision/rollout_evidence.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Part of all bad answers beyond the usual ones that must come from one target to be taken for its own fault.
constexpr double faultyTargetPart = 0.7;

/// Bad answers of one target beyond the usual ones below which it is not excluded.
constexpr double minFaultyExcess = 4;

/// The level of the judge from which on a single target is looked for.
constexpr double suspectLevel = 0.4;

/// Targets of which one may be excluded; the same again for each further one.
constexpr std::size_t targetsPerExcluded = 4;

} // namespace

void RolloutEvidence::setHost(const std::string &host, HostEvidence &&evidence)
{
    HostEvidence &known = hosts_[host];
    if (known.process != evidence.process) {
        for (const RouteEvidence &route : known.routes) {
            ended_[route.route].serving += route.serving;
            ended_[route.route].candidate += route.candidate;
        }
    }
    known = std::move(evidence);
}

std::optional<std::uint64_t> RolloutEvidence::judge()
{
    std::map<std::uint64_t, RouteEvidence> sums = ended_;
    for (const auto &[host, evidence] : hosts_) {
        for (const RouteEvidence &route : evidence.routes) {
            sums[route.route].serving += route.serving;
            sums[route.route].candidate += route.candidate;
        }
    }
    answers_ = 0;
    AnswerCounts serving;
    for (const auto &[route, sum] : sums) {
        answers_ += sum.candidate.total();
        serving += sum.serving;
        judge_.update(route, sum.serving, sum.candidate);
    }
    const double usualBad = serving.failed + serving.slowerFrom(firstSlowBucket);
    const auto faulty = judge_.level() >= suspectLevel ? findFaultyTarget(usualBad / std::max(serving.total(), 1U)) : std::nullopt;
    if (faulty) {
        excluded_.insert(*faulty);
        answersBefore_ = answers_;
        judge_.restart();
    }
    return faulty;
}

/// The target that nearly all bad answers beyond the usual share come from, if there are others and not too many are excluded already.
std::optional<std::uint64_t> RolloutEvidence::findFaultyTarget(double usualShare) const
{
    std::map<std::uint64_t, double> excess;
    for (const auto &[host, evidence] : hosts_) {
        for (const TargetEvidence &target : evidence.targets) {
            if (!excluded_.contains(target.target)) {
                excess[target.target] += target.bad - usualShare * target.answers;
            }
        }
    }
    const std::size_t maxExcluded = 1 + (excess.size() + excluded_.size()) / targetsPerExcluded;
    if (excess.size() < 2 || excluded_.size() >= maxExcluded) {
        return std::nullopt;
    }
    const auto worst = std::max_element(excess.begin(), excess.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    const double all = std::accumulate(excess.begin(), excess.end(), 0.0, [](double sum, const auto &entry) { return sum + std::max(entry.second, 0.0); });
    return worst->second >= std::max(minFaultyExcess, faultyTargetPart * all) ? std::optional(worst->first) : std::nullopt;
}

double RolloutEvidence::level() const
{
    return judge_.level();
}

std::uint32_t RolloutEvidence::answers() const
{
    return answers_;
}

std::uint32_t RolloutEvidence::recentAnswers() const
{
    return answers_ - std::min(answers_, answersBefore_);
}

const std::set<std::uint64_t> &RolloutEvidence::excludedTargets() const
{
    return excluded_;
}

} // namespace Lovageloft
