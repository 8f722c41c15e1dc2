#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/placement.h"

using namespace Lovageloft;

namespace
{

constexpr std::size_t engineCount = 18;

TimePoint at(double seconds)
{
    return TimePoint(fromSeconds(1000 + seconds));
}

std::vector<BlockHash> makeChain(std::uint64_t seed, std::size_t blocks)
{
    Random random(seed);
    std::vector<BlockHash> chain(blocks);
    for (BlockHash &block : chain) {
        block = random();
    }
    return chain;
}

/// A placement over 18 engines named e0 to e17, with helpers that send requests.
struct Fixture
{
    Fixture()
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            names.push_back("e" + std::to_string(i));
        }
        for (const std::string &name : names) {
            engines.push_back({.name = name, .modelVersion = 1, .incarnation = 1});
        }
        placement.setEngines(engines);
    }

    std::optional<PlacementDecision> place(std::span<const BlockHash> chain, double now, std::span<const EngineIndex> excluded = {})
    {
        chains = {VersionedChain{.modelVersion = 1, .blocks = chain}, VersionedChain{.modelVersion = 2, .blocks = chain}};
        request = {.chains = chains, .promptTokens = static_cast<std::uint32_t>(chain.size() * prefixBlockTokens + 100), .excluded = excluded};
        return placement.place(request, at(now), random, reason);
    }

    /// Places and sends a request whose first token comes after `firstToken` seconds; returns the chosen engine.
    EngineIndex serve(std::span<const BlockHash> chain, double now, double firstToken)
    {
        const PlacementDecision decision = place(chain, now).value();
        const DispatchId id = placement.onDispatched(request, decision, at(now));
        placement.onFirstToken(id, std::nullopt, at(now + firstToken));
        placement.onFinished(id, at(now + firstToken + 1));
        return decision.engine;
    }

    std::vector<std::string> names;
    std::vector<EngineStatus> engines;
    std::vector<VersionedChain> chains;
    PlacementRequest request;
    Placement placement;
    Random random{7};
    Reason reason;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementTest, Fixture)

BOOST_AUTO_TEST_CASE(restartedHostsPickTheSameEnginesForAPrefix)
{
    // All hosts restart at once with empty cache views. If each chose a different engine for a prefix, every engine would compute
    // every prefix, and tail latency would be high for minutes.
    std::map<std::uint64_t, EngineIndex> first;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        first[seed] = place(makeChain(seed, 20), 0)->engine;
    }
    Fixture other;
    std::reverse(other.engines.begin(), other.engines.end());
    other.placement.setEngines(other.engines);
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        BOOST_TEST(placement.engineName(first[seed]) == other.placement.engineName(other.place(makeChain(seed, 20), 0)->engine));
    }
}

BOOST_AUTO_TEST_CASE(aRequestFollowsItsPrefixUntilTheEngineComesBackEmpty)
{
    // An engine that holds a prefix crashes. Until hosts learn of it, requests wait there for a prefix that is no longer cached.
    const std::vector<BlockHash> chain = makeChain(1, 40);
    const EngineIndex holder = serve(chain, 0, 4);
    BOOST_TEST(place(chain, 10)->engine == holder);
    BOOST_TEST(place(chain, 10)->expectedCachedTokens == 40U * prefixBlockTokens);
    placement.onLoadReport(holder, {.measuredAt = at(11), .incarnation = 2}, at(11));
    BOOST_TEST(place(chain, 12)->expectedCachedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(newWeightsAndLeavingDropWhatWasCached)
{
    const std::vector<BlockHash> chain = makeChain(1, 40);
    const EngineIndex holder = serve(chain, 0, 4);
    engines[holder].modelVersion = 2;
    placement.setEngines(engines);
    BOOST_TEST(place(chain, 10)->expectedCachedTokens == 0U);
    engines[holder].isServing = false;
    placement.setEngines(engines);
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        BOOST_TEST(place(makeChain(seed, 3), 10)->engine != holder);
    }
    engines.erase(engines.begin() + holder);
    placement.setEngines(engines);
    BOOST_TEST(!placement.findEngine(names[holder]).has_value());
    BOOST_TEST(place(chain, 10).has_value());
}

BOOST_AUTO_TEST_CASE(refusalsSayWhetherEnginesAreMissingOrFull)
{
    const std::vector<BlockHash> chain; // A prompt shorter than a block, which no engine holds.
    for (EngineIndex engine = 0; engine < engineCount; ++engine) {
        placement.setWindowOpen(engine, engine == 5);
        placement.onLoadReport(engine, {.measuredAt = at(0), .incarnation = 1, .queuedPrefillTokens = 20'000}, at(0));
    }
    BOOST_TEST(place(chain, 0)->engine == 5U);
    const std::vector<EngineIndex> excluded{5};
    BOOST_TEST(!place(chain, 0, excluded).has_value());
    BOOST_TEST((reason.code == ResultCode::Overloaded));
    placement.setEngines({});
    BOOST_TEST(!place(chain, 0).has_value());
    BOOST_TEST((reason.code == ResultCode::NoTarget));
}

BOOST_AUTO_TEST_CASE(anEngineWithAFullWindowStillGetsItsCachedPrefixes)
{
    // Many short requests fill an engine's window. If requests for its cached prefixes went elsewhere, other engines would recompute
    // them and evict their own prefixes, and all requests would wait longer from then on.
    const std::vector<BlockHash> chain = makeChain(1, 40);
    const EngineIndex holder = serve(chain, 0, 4);
    placement.setWindowOpen(holder, false);
    BOOST_TEST(place(chain, 10)->engine == holder);
    placement.onLoadReport(holder, {.measuredAt = at(10), .incarnation = 1, .queuedPrefillTokens = 15'000}, at(10));
    BOOST_TEST(place(chain, 10)->engine != holder);
}

BOOST_AUTO_TEST_CASE(anEngineThatStopsAnsweringGetsNoMoreRequestsForItsPrefix)
{
    // An engine stops answering while its connections stay open. There are no late answers to detect that by, and all requests for
    // the prefixes that it holds would wait.
    const std::vector<BlockHash> chain = makeChain(1, 40);
    const EngineIndex holder = serve(chain, 0, 4);
    placement.onDispatched(request, place(chain, 10).value(), at(10));
    BOOST_TEST(place(chain, 30)->engine != holder);
}

BOOST_AUTO_TEST_CASE(aHotPrefixIsSpread)
{
    // All requests share one prefix. Without spreading, two engines would have queues while sixteen are idle.
    const std::vector<BlockHash> chain = makeChain(1, 4);
    std::map<EngineIndex, int> hot;
    for (int i = 0; i < 2'000; ++i) {
        const double now = i * 0.01;
        const PlacementDecision decision = place(chain, now).value();
        placement.onFinished(placement.onDispatched(request, decision, at(now)), at(now));
        ++hot[decision.engine];
        const double queued = 2'000 * std::min(hot[decision.engine], 12);
        placement.onLoadReport(decision.engine, {.measuredAt = at(now), .incarnation = 1, .queuedPrefillTokens = queued}, at(now));
    }
    BOOST_TEST(hot.size() >= 8U);
}

BOOST_AUTO_TEST_CASE(endsAreCountedOnceAndUnknownIdsIgnored)
{
    const std::vector<BlockHash> chain = makeChain(1, 2);
    const PlacementDecision decision = place(chain, 0).value();
    const DispatchId id = placement.onDispatched(request, decision, at(0));
    BOOST_TEST(placement.inFlight(decision.engine) == 1U);
    placement.onFailed(id, at(1));
    placement.onFinished(id, at(1));
    placement.onCancelled(id);
    placement.onFirstToken(12345, 0, at(1));
    BOOST_TEST(placement.inFlight(decision.engine) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
