#include "decision/candidate_ranking.h"

#include <algorithm>

namespace Lovageloft
{

void CandidateRanking::addUsable(double cost)
{
    minCost_ = std::min(minCost_.value_or(cost), cost);
}

void CandidateRanking::add(const PlacementDecision &candidate, double cost)
{
    if (best_ && cost >= bestCost_) {
        addAlternative({candidate.engine, candidate.expectedFirstTokenSeconds}, cost);
        return;
    }
    const auto previous = best_;
    const double previousCost = bestCost_;
    best_ = candidate;
    bestCost_ = cost;
    if (alternative_ && alternative_->engine == candidate.engine) {
        alternative_.reset();
    }
    if (previous) {
        addAlternative({previous->engine, previous->expectedFirstTokenSeconds}, previousCost);
    }
}

void CandidateRanking::addWithoutPermit(EngineIndex engine, double cost, double wait)
{
    const bool isKnown = std::any_of(unpermitted_.begin(), unpermitted_.end(), [engine](const Unpermitted &known) { return known.engine == engine; });
    if (!isKnown) {
        unpermitted_.push_back({engine, cost, wait});
    }
}

std::vector<EngineIndex> CandidateRanking::preferredWithoutPermit() const
{
    std::vector<Unpermitted> candidates = unpermitted_;
    std::sort(candidates.begin(), candidates.end(), [](const Unpermitted &left, const Unpermitted &right) {
        return left.cost + left.wait < right.cost + right.wait;
    });
    std::vector<EngineIndex> engines;
    for (const Unpermitted &candidate : candidates) {
        if (isEmpty() || candidate.cost < bestCost_) {
            engines.push_back(candidate.engine);
        }
    }
    return engines;
}

bool CandidateRanking::isEmpty() const
{
    return !best_;
}

double CandidateRanking::excessCost() const
{
    return bestCost_ - minCost_.value_or(bestCost_);
}

PlacementDecision CandidateRanking::best() const
{
    PlacementDecision decision = *best_;
    decision.alternative = alternative_;
    return decision;
}

void CandidateRanking::addAlternative(const PlacementAlternative &alternative, double cost)
{
    if (alternative.engine != best_->engine && (!alternative_ || cost < alternativeCost_)) {
        alternative_ = alternative;
        alternativeCost_ = cost;
    }
}

} // namespace Lovageloft
