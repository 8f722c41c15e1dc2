#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "decision/placement.h"
#include "replay/engine_model.h"

namespace Lovageloft
{

/// Strategy by which one router chooses engines: the router's own Placement or a baseline for comparison. There is one object per
/// router; all but the oracles know only what is reported to them.
class PlacementStrategy
{
public:
    struct Placed
    {
        EngineIndex engine = 0;
        PlacementDecision decision; ///< Set by the strategy "ours" only.
    };

    virtual ~PlacementStrategy() = default;

    /// Chooses an engine; `isOpen` tells which engines aren't leaving and, if the strategy obeys windows, have room in theirs.
    virtual std::optional<Placed> place(const PlacementRequest &request, std::span<const char> isOpen, TimePoint now, Random &random) = 0;

    /// Returns the expected prompt tokens to compute, for the queueing cost. By default three quarters of the prompt are assumed to be
    /// cached.
    virtual std::uint32_t missedTokens(const PlacementRequest &request) const
    {
        return request.promptTokens / 4;
    }

    virtual DispatchId dispatched(const PlacementRequest & /*request*/, const Placed & /*placed*/, TimePoint /*now*/)
    {
        return 0;
    }

    virtual void firstToken(DispatchId /*id*/, std::uint32_t /*cachedTokens*/, TimePoint /*now*/)
    {
    }

    virtual void finished(DispatchId /*id*/, TimePoint /*now*/)
    {
    }

    virtual void failed(DispatchId /*id*/, EngineIndex /*engine*/, TimePoint /*now*/)
    {
    }

    virtual void loadReport(EngineIndex /*engine*/, const LoadReport & /*report*/, TimePoint /*now*/)
    {
    }

    virtual void cacheEvents(EngineIndex /*engine*/, std::uint64_t /*incarnation*/, std::uint64_t /*firstSequence*/, std::span<const CacheEvent> /*events*/)
    {
    }

    virtual bool isEjected(EngineIndex /*engine*/) const
    {
        return false;
    }

    virtual void setEngines(std::span<const EngineStatus> /*engines*/)
    {
    }
};

/// Input of a strategy's factory.
struct StrategyContext
{
    std::span<const EngineModel> engines; ///< For the oracles only.
    std::size_t hostCount = 1;
    PlacementPolicy placement; ///< Parameters of "ours" and the oracles.
};

/// Name and factory of one strategy.
struct StrategySpec
{
    std::string_view name;
    std::unique_ptr<PlacementStrategy> (*make)(const StrategyContext &context) = nullptr;
    bool obeysWindows = true; ///< False for bounded-hash, which does better with its own bound alone.
};

/// Returns all strategies: random, round-robin, least-loaded, bounded-hash, ours (the router's own Placement), oracle, greedy-oracle.
std::span<const StrategySpec> strategySpecs();
/// Returns the strategy with this name, which must exist.
const StrategySpec &strategySpec(std::string_view name);

} // namespace Lovageloft
