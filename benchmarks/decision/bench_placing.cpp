#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <xxhash.h>

#include "core/random.h"
#include "decision/placement.h"

// Benchmarks of the placement decision. docs/MEASUREMENTS-decision.md has the goals; compare rates within one run only.

using namespace Lovageloft;

namespace
{

constexpr std::size_t promptBytes = 1'048'576;
constexpr std::size_t chainBlocksCount = 60;

std::vector<BlockHash> randomBlocks(std::size_t count)
{
    Random random(count);
    std::vector<BlockHash> blocks(count);
    for (BlockHash &block : blocks) {
        block = random();
    }
    return blocks;
}

void hashWithXxh3Alone(benchmark::State &state)
{
    const std::string prompt(promptBytes, 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(XXH3_64bits(prompt.data(), prompt.size()));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * promptBytes));
}

void hashPrefixChain(benchmark::State &state)
{
    const std::string prompt(promptBytes, 'x');
    std::vector<BlockHash> digests;
    std::vector<BlockHash> chain;
    for (auto _ : state) {
        digestBlocks(prompt, digests);
        chainBlocks(prefixSeed({"salt", "model", "1"}), digests, chain);
        benchmark::DoNotOptimize(chain.data());
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * promptBytes));
}

/// Applies stored and evicted blocks of 18 or 1,000 engines to a view of a million blocks.
void applyCacheEvents(benchmark::State &state)
{
    constexpr std::size_t batch = 256;
    constexpr std::size_t cacheViewBlocks = 1'000'000;
    const auto engines = static_cast<std::size_t>(state.range(0));
    CacheView view(cacheViewBlocks);
    const std::vector<BlockHash> blocks = randomBlocks(cacheViewBlocks);
    std::vector<std::uint64_t> sequences(engines, 0);
    std::vector<CacheEvent> events(batch);
    std::size_t next = 0;
    std::size_t engine = 0;
    for (auto _ : state) {
        for (std::size_t i = 0; i < batch; ++i) {
            const bool isEviction = i % 4 == 3;
            events[i] = {blocks[(next + (isEviction ? cacheViewBlocks / 2 : 0)) % cacheViewBlocks],
                         isEviction ? CacheEvent::Kind::Evicted : CacheEvent::Kind::Stored};
            next = (next + 1) % cacheViewBlocks;
        }
        view.applyEvents(static_cast<EngineIndex>(engine), 1, sequences[engine], events);
        sequences[engine] += batch;
        engine = (engine + 1) % engines;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * batch));
    state.counters["bytes_per_block"] = static_cast<double>(view.tableBytes()) / static_cast<double>(std::max<std::size_t>(1, view.heldBlocks()));
}

/// Measures the bytes per cached block in a view filled to capacity with one holder per block, the worst case.
void fillCacheView(benchmark::State &state)
{
    constexpr std::size_t cacheViewBlocks = 1'000'000;
    const std::vector<BlockHash> blocks = randomBlocks(cacheViewBlocks);
    double bytes = 0;
    for (auto _ : state) {
        CacheView view(cacheViewBlocks);
        view.addBlocks(0, blocks);
        bytes = static_cast<double>(view.tableBytes()) / static_cast<double>(view.heldBlocks());
    }
    state.counters["bytes_per_block"] = bytes;
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * cacheViewBlocks));
}

/// A placement over `engineCount` engines whose cache view has each of `chains` on a few engines.
struct PlacingBench
{
    explicit PlacingBench(std::size_t engineCount)
    {
        std::vector<std::string> names;
        names.reserve(engineCount);
        for (std::size_t i = 0; i < engineCount; ++i) {
            names.push_back("engine-" + std::to_string(i));
        }
        std::vector<EngineStatus> engines;
        engines.reserve(engineCount);
        for (const std::string &name : names) {
            engines.push_back({.name = name, .modelVersion = 1, .incarnation = 1});
        }
        placement.setEngines(engines);
        for (std::size_t i = 0; i < chainCount; ++i) {
            const std::vector<BlockHash> chain = randomBlocks(chainBlocksCount + i);
            chains.emplace_back(chain.begin(), chain.begin() + chainBlocksCount);
        }
        // Slowly at first, so that each prefix is computed once.
        for (std::size_t i = 0; i < 3 * chainCount; ++i) {
            now += std::chrono::seconds(10);
            run(i, true);
        }
    }

    void run(std::size_t i, bool isDispatched)
    {
        const VersionedChain chain{.modelVersion = 1, .blocks = chains[i % chainCount]};
        const PlacementRequest request{.chains = std::span(&chain, 1), .promptTokens = chainBlocksCount * prefixBlockTokens};
        const auto decision = placement.place(request, now, random, reason);
        benchmark::DoNotOptimize(decision);
        isQueued = !decision;
        if (isDispatched && decision) {
            const DispatchId id = placement.onDispatched(request, *decision, now);
            const TimePoint firstToken = now + fromSeconds(decision->expectedFirstTokenSeconds);
            placement.onFirstToken(id, std::nullopt, firstToken);
            placement.onFinished(id, firstToken + std::chrono::milliseconds(800));
        }
        now += std::chrono::milliseconds(10);
    }

    static constexpr std::size_t chainCount = 2'000;
    Placement placement;
    std::vector<std::vector<BlockHash>> chains;
    TimePoint now{std::chrono::seconds(1000)};
    Random random{1};
    Reason reason;
    bool isQueued = false;
};

void placeRequest(benchmark::State &state)
{
    PlacingBench bench(static_cast<std::size_t>(state.range(0)));
    std::size_t i = 0;
    for (auto _ : state) {
        bench.run(i++, false);
    }
    state.counters["held"] = bench.isQueued ? 1 : 0;
}

void placeDispatchAndAnswer(benchmark::State &state)
{
    PlacingBench bench(static_cast<std::size_t>(state.range(0)));
    std::size_t i = 0;
    for (auto _ : state) {
        bench.run(i++, true);
    }
    state.counters["held"] = bench.isQueued ? 1 : 0;
}

BENCHMARK(hashWithXxh3Alone);
BENCHMARK(hashPrefixChain);
BENCHMARK(applyCacheEvents)->Arg(18)->Arg(1000);
BENCHMARK(fillCacheView)->Unit(benchmark::kMillisecond);
BENCHMARK(placeRequest)->Arg(18)->Arg(1000);
BENCHMARK(placeDispatchAndAnswer)->Arg(18)->Arg(1000);

} // namespace
