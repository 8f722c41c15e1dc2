#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "decision/cache_view.h"

namespace Lovageloft
{

/// Id that the router assigns to one model at one version of its weights. Only engines with this id can hold blocks of a chain
/// that was seeded for it.
using ModelVersionId = std::uint32_t;

/// The engine that was second in cost, for operators who ask why a request went where it did.
struct PlacementAlternative
{
    EngineIndex engine = 0;
    double expectedFirstTokenSeconds = 0; ///< Seconds from now.
};

/// The engine chosen for a request, with the estimates behind the choice.
struct PlacementDecision
{
    EngineIndex engine = 0;
    ModelVersionId modelVersion = 0;
    std::uint32_t expectedCachedTokens = 0; ///< Prompt tokens expected in the engine's cache.
    double expectedFirstTokenSeconds = 0; ///< Seconds from now, scaled by the measured slowdown, plus the time by which its oldest request is overdue.
    double expectedWaitSeconds = 0; ///< Until the engine begins the request.
    double expectedPrefillSeconds = 0; ///< Prefill time in seconds at the engine's nominal speed.
    std::uint32_t workTokens = 0; ///< The prefill time in tokens at nominal speed. Includes attention, so it is at least the number of uncached prompt tokens.
    std::uint32_t newTokens = 0; ///< Tokens that the request adds to the engine's cache.
    double nominalFirstTokenSeconds = 0; ///< Seconds from now at the engine's nominal speed; EngineHealth compares the observed time with it.
    bool isProbe = false; ///< True if the request tests whether an ejected engine has recovered.
    std::optional<PlacementAlternative> alternative = std::nullopt; ///< Not set if only one engine could take the request.
};

/// Ranks the engines that were evaluated for one request by cost, and keeps the cheapest two.
class CandidateRanking
{
public:
    /// Records the cost of a usable engine, also of one that is too busy to take the request.
    void addUsable(double cost);

    /// Records an engine that can take the request now. An engine may be recorded more than once, as a rendezvous winner and as a holder, and is
    /// then no alternative to itself.
    void add(const PlacementDecision &candidate, double cost);

    /// Records an engine that could take the request but for a permit, with its cost without the wait for one, and that wait in seconds.
    void addWithoutPermit(EngineIndex engine, double cost, double wait);

    /// Engines without a permit that cost less than the best one; those with the lowest cost including the wait first.
    std::vector<EngineIndex> preferredWithoutPermit() const;

    /// Whether no engine can take the request now.
    bool isEmpty() const;

    /// By how much the best engine that can take the request now costs more than the cheapest usable one. There must be such an engine.
    double excessCost() const;

    /// The best engine with its alternative. There must be one.
    PlacementDecision best() const;

private:
    /// An engine that only lacks a permit.
    struct Unpermitted
    {
        EngineIndex engine = 0;
        double cost = 0;
        double wait = 0;
    };

    void addAlternative(const PlacementAlternative &alternative, double cost);

    std::optional<double> minCost_; ///< Over all usable engines, including busy ones.
    double bestCost_ = 0;
    std::optional<PlacementDecision> best_;
    std::vector<Unpermitted> unpermitted_;
    double alternativeCost_ = 0;
    std::optional<PlacementAlternative> alternative_;
};

} // namespace Lovageloft
