#include "replay/placement_strategy.h"

#include <algorithm>
#include <array>
#include <limits>

#include "decision/rendezvous.h"

namespace Lovageloft
{

namespace
{

/// Base class of the baselines: avoids an engine for two seconds after a failure.
class Baseline : public PlacementStrategy
{
public:
    void failed(DispatchId /*id*/, EngineIndex engine, TimePoint now) override
    {
        ensureSize(engine);
        avoidUntil_[engine] = now + std::chrono::seconds(2);
    }

protected:
    void ensureSize(std::size_t engine)
    {
        avoidUntil_.resize(std::max(avoidUntil_.size(), engine + 1));
    }

    std::vector<EngineIndex> usableEngines(std::span<const char> isOpen, TimePoint now)
    {
        ensureSize(isOpen.size());
        std::vector<EngineIndex> engines;
        for (std::size_t engine = 0; engine < isOpen.size(); ++engine) {
            if (isOpen[engine] != 0 && now >= avoidUntil_[engine]) {
                engines.push_back(static_cast<EngineIndex>(engine));
            }
        }
        return engines;
    }

private:
    std::vector<TimePoint> avoidUntil_;
};

class RandomChoice : public Baseline
{
public:
    std::optional<Placed> place(const PlacementRequest & /*request*/, std::span<const char> isOpen, TimePoint now, Random &random) override
    {
        const std::vector<EngineIndex> engines = usableEngines(isOpen, now);
        if (engines.empty()) {
            return std::nullopt;
        }
        return Placed{engines[randomBelow(random, engines.size())], {}};
    }
};

class RoundRobin : public Baseline
{
public:
    std::optional<Placed> place(const PlacementRequest & /*request*/, std::span<const char> isOpen, TimePoint now, Random & /*random*/) override
    {
        const std::vector<EngineIndex> engines = usableEngines(isOpen, now);
        if (engines.empty()) {
            return std::nullopt;
        }
        const auto next = std::upper_bound(engines.begin(), engines.end(), last_);
        last_ = next == engines.end() ? engines.front() : *next;
        return Placed{last_, {}};
    }

private:
    EngineIndex last_ = 0;
};

/// Counts the load of each engine: the last report plus the requests sent since.
class LoadCounting : public Baseline
{
public:
    DispatchId dispatched(const PlacementRequest & /*request*/, const Placed &placed, TimePoint /*now*/) override
    {
        count(placed.engine) += 1;
        return 0;
    }

    void loadReport(EngineIndex engine, const LoadReport &report, TimePoint /*now*/) override
    {
        count(engine) = report.runningRequests + 4.0 * report.waitingRequests;
    }

protected:
    double &count(EngineIndex engine)
    {
        counts_.resize(std::max<std::size_t>(counts_.size(), engine + 1));
        return counts_[engine];
    }

private:
    std::vector<double> counts_;
};

class LeastLoaded : public LoadCounting
{
public:
    std::optional<Placed> place(const PlacementRequest & /*request*/, std::span<const char> isOpen, TimePoint now, Random &random) override
    {
        std::vector<EngineIndex> engines = usableEngines(isOpen, now);
        if (engines.empty()) {
            return std::nullopt;
        }
        std::rotate(engines.begin(), engines.begin() + static_cast<std::ptrdiff_t>(randomBelow(random, engines.size())), engines.end());
        const auto lessLoaded = [this](EngineIndex left, EngineIndex right) { return count(left) < count(right); };
        return Placed{*std::min_element(engines.begin(), engines.end(), lessLoaded), {}};
    }
};

/// Consistent hashing with bounded loads: the first engine in the prefix's order with less than 1.25 times the mean load.
class BoundedHash : public LoadCounting
{
public:
    std::optional<Placed> place(const PlacementRequest &request, std::span<const char> isOpen, TimePoint now, Random &random) override
    {
        constexpr double bound = 1.25;
        constexpr std::size_t keyLevel = 16;
        const std::vector<EngineIndex> engines = usableEngines(isOpen, now);
        if (engines.empty()) {
            return std::nullopt;
        }
        const std::span<const BlockHash> blocks = request.chains.front().blocks;
        const std::uint64_t key = blocks.empty() ? random() : blocks[std::min(blocks.size(), keyLevel) - 1];
        std::vector<RendezvousNode> nodes;
        double total = 1;
        for (const EngineIndex engine : engines) {
            nodes.push_back({.engine = engine, .id = engine * 0x9e3779b97f4a7c15ULL});
            total += count(engine);
        }
        std::array<EngineIndex, 16> order;
        const std::size_t found = rendezvousWinners(key, nodes, order);
        for (const EngineIndex engine : std::span(order).first(found)) {
            if (count(engine) + 1 <= bound * total / static_cast<double>(engines.size()) + 1) {
                return Placed{engine, {}};
            }
        }
        return Placed{order.front(), {}};
    }
};

class Oracle : public PlacementStrategy
{
public:
    explicit Oracle(const StrategyContext &context, bool isGreedy = false)
        : engines_(context.engines)
        , policy_(context.placement)
        , isGreedy_(isGreedy)
    {
    }

    std::optional<Placed> place(const PlacementRequest &request, std::span<const char> isOpen, TimePoint now, Random & /*random*/) override
    {
        // The same cost function and the same rule for busy engines as Placement, but with exact figures.
        double meanWait = 0;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            meanWait += engineWait(engine, now) / static_cast<double>(engines_.size());
        }
        const double prefillWeight = isGreedy_ ? 1 : policy_.recomputeWeight + policy_.meanWaitWeight * meanWait;
        std::optional<Placed> best;
        double bestCost = std::numeric_limits<double>::max();
        double minCost = std::numeric_limits<double>::max();
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (!engines_[engine].isUp || engines_[engine].isLeaving) {
                continue;
            }
            const double wait = engineWait(engine, now);
            const double firstToken = engines_[engine].exactFirstToken(chainOf(request, engine), request.promptTokens, toSeconds(now.time_since_epoch()));
            const double cost = wait + prefillWeight * (firstToken - wait);
            minCost = std::min(minCost, cost);
            if (isWaitAcceptable(isOpen[engine], wait) && cost < bestCost) {
                bestCost = cost;
                best = Placed{static_cast<EngineIndex>(engine), {}};
            }
        }
        return isGreedy_ || bestCost <= minCost + policy_.holdSlack / std::max(0.01, meanWait) ? best : std::nullopt;
    }

    std::uint32_t missedTokens(const PlacementRequest &request) const override
    {
        std::uint32_t most = 0;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            most = std::max(most, engines_[engine].exactCachedTokens(chainOf(request, engine), request.promptTokens));
        }
        return request.promptTokens - most;
    }

private:
    double engineWait(std::size_t engine, TimePoint now) const
    {
        return engines_[engine].exactFirstToken({}, 0, toSeconds(now.time_since_epoch()));
    }

    bool isWaitAcceptable(char isOpen, double wait) const
    {
        return wait <= (isOpen != 0 ? policy_.maxWaitWindowOpen : policy_.maxWaitWindowFull);
    }

    std::span<const BlockHash> chainOf(const PlacementRequest &request, std::size_t engine) const
    {
        for (const VersionedChain &chain : request.chains) {
            if (chain.modelVersion == engines_[engine].version) {
                return chain.blocks;
            }
        }
        return {};
    }

    std::span<const EngineModel> engines_;
    PlacementPolicy policy_;
    bool isGreedy_ = false;
};

/// Oracle that minimizes the time to the first token of the current request only, at the expense of later ones.
class GreedyOracle : public Oracle
{
public:
    explicit GreedyOracle(const StrategyContext &context)
        : Oracle(context, true)
    {
    }
};

class PlacementAdapter : public PlacementStrategy
{
public:
    explicit PlacementAdapter(const StrategyContext &context)
        : placement_(context.placement)
    {
        placement_.setHostCount(context.hostCount);
    }

    std::optional<Placed> place(const PlacementRequest &request, std::span<const char> isOpen, TimePoint now, Random &random) override
    {
        for (std::size_t engine = 0; engine < isOpen.size(); ++engine) {
            placement_.setWindowOpen(static_cast<EngineIndex>(engine), isOpen[engine] != 0);
        }
        Reason reason;
        const auto decision = placement_.place(request, now, random, reason);
        return decision ? std::optional(Placed{decision->engine, *decision}) : std::nullopt;
    }

    std::uint32_t missedTokens(const PlacementRequest &request) const override
    {
        return placement_.expectedMissedTokens(request);
    }

    DispatchId dispatched(const PlacementRequest &request, const Placed &placed, TimePoint now) override
    {
        return placement_.onDispatched(request, placed.decision, now);
    }

    void firstToken(DispatchId id, std::uint32_t cachedTokens, TimePoint now) override
    {
        placement_.onFirstToken(id, cachedTokens, now);
    }

    void finished(DispatchId id, TimePoint now) override
    {
        placement_.onFinished(id, now);
    }

    void failed(DispatchId id, EngineIndex /*engine*/, TimePoint now) override
    {
        placement_.onFailed(id, now);
    }

    void loadReport(EngineIndex engine, const LoadReport &report, TimePoint now) override
    {
        placement_.onLoadReport(engine, report, now);
    }

    void cacheEvents(EngineIndex engine, std::uint64_t incarnation, std::uint64_t firstSequence, std::span<const CacheEvent> events) override
    {
        placement_.onCacheEvents(engine, incarnation, firstSequence, events);
    }

    bool isEjected(EngineIndex engine) const override
    {
        return placement_.health().isEjected(engine);
    }

    void setEngines(std::span<const EngineStatus> engines) override
    {
        placement_.setEngines(engines);
    }

private:
    Placement placement_;
};

template <typename Strategy>
std::unique_ptr<PlacementStrategy> makeStrategy(const StrategyContext & /*context*/)
{
    return std::make_unique<Strategy>();
}

template <typename Strategy>
std::unique_ptr<PlacementStrategy> makeFromContext(const StrategyContext &context)
{
    return std::make_unique<Strategy>(context);
}

constexpr std::array specs = std::to_array<StrategySpec>({
    {"random", makeStrategy<RandomChoice>},
    {"round-robin", makeStrategy<RoundRobin>},
    {"least-loaded", makeStrategy<LeastLoaded>},
    {"bounded-hash", makeStrategy<BoundedHash>, false},
    {"ours", makeFromContext<PlacementAdapter>},
    {"oracle", makeFromContext<Oracle>},
    {"greedy-oracle", makeFromContext<GreedyOracle>},
});

} // namespace

std::span<const StrategySpec> strategySpecs()
{
    return specs;
}

const StrategySpec &strategySpec(std::string_view name)
{
    return *std::find_if(specs.begin(), specs.end(), [name](const StrategySpec &spec) { return spec.name == name; });
}

} // namespace Lovageloft
