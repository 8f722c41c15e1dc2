#include <array>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "decision/cache_view.h"

using namespace Lovageloft;

namespace
{

using Kind = CacheEvent::Kind;

std::vector<BlockHash> makeChain(std::uint64_t seed, std::size_t blocks)
{
    Random random(seed);
    std::vector<BlockHash> chain(blocks);
    for (BlockHash &block : chain) {
        block = random();
    }
    return chain;
}

std::size_t heldBy(const CacheView &view, std::span<const BlockHash> chain, EngineIndex engine)
{
    std::array<HeldPrefix, 64> found;
    const std::size_t count = view.findHolders(chain, found);
    for (const HeldPrefix &held : std::span(found).first(count)) {
        if (held.engine == engine) {
            return held.blocks;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CacheViewTest)

BOOST_AUTO_TEST_CASE(aNewIncarnationDropsAllEntriesHoweverOftenItRestarts)
{
    // An engine crashes and restarts with an empty cache many times, so that generation numbers wrap around. A request placed by an
    // entry of an earlier incarnation would have to wait until its whole prefix is computed.
    CacheView view(10'000);
    for (std::uint64_t incarnation = 1; incarnation < 100; ++incarnation) {
        view.setIncarnation(3, incarnation);
        for (std::uint64_t past = 1; past < incarnation; ++past) {
            BOOST_REQUIRE(heldBy(view, makeChain(past, 4), 3) == 0);
        }
        view.addBlocks(3, makeChain(incarnation, 4));
        BOOST_REQUIRE(heldBy(view, makeChain(incarnation, 4), 3) == 4);
        BOOST_REQUIRE(view.heldBlocks() == 4);
    }
}

BOOST_AUTO_TEST_CASE(lateEventsOfADeadEngineAreIgnored)
{
    // Events of the crashed incarnation arrive after the new incarnation has been announced.
    CacheView view(1'000);
    const std::vector<BlockHash> chain = makeChain(1, 2);
    view.setIncarnation(0, 7);
    const std::array late{CacheEvent{chain[0], Kind::Stored}, CacheEvent{chain[1], Kind::Stored}};
    view.applyEvents(0, 6, 0, late);
    BOOST_TEST(heldBy(view, chain, 0) == 0U);
    view.applyEvents(0, 7, 0, late);
    BOOST_TEST(heldBy(view, chain, 0) == 2U);
}

BOOST_AUTO_TEST_CASE(aGapMayLeaveStaleEntriesUntilAResync)
{
    // The event stream loses events, possibly an eviction. Prompts sent to the engine for an evicted block would take long.
    CacheView view(1'000);
    const std::vector<BlockHash> chain = makeChain(1, 6);
    const std::array first{CacheEvent{chain[0], Kind::Stored}, CacheEvent{chain[1], Kind::Stored}};
    const std::array later{CacheEvent{chain[2], Kind::Stored}, CacheEvent{chain[3], Kind::Evicted}};
    view.applyEvents(0, 1, 0, first);
    BOOST_TEST(!view.mayBeStale(0));
    view.applyEvents(0, 1, 5, later);
    BOOST_TEST(view.mayBeStale(0));
    BOOST_TEST(heldBy(view, chain, 0) == 3U);
    view.applyEvents(0, 1, 5, later); // Repeated events have no effect.
    view.resync(0, 1, 9, std::span(chain).first(1));
    BOOST_TEST(!view.mayBeStale(0));
    BOOST_TEST(heldBy(view, chain, 0) == 1U);
    BOOST_TEST(view.heldBlocks() == 1U);
}

BOOST_AUTO_TEST_CASE(theLongestPrefixComesFirstAndEvictionsShortenIt)
{
    CacheView view(1'000);
    const std::vector<BlockHash> chain = makeChain(1, 10);
    for (EngineIndex engine = 0; engine < 18; ++engine) {
        view.addBlocks(engine, std::span(chain).first(1 + engine / 2));
    }
    std::array<HeldPrefix, 18> found;
    BOOST_REQUIRE(view.findHolders(chain, found) == 18U);
    for (std::size_t i = 1; i < found.size(); ++i) {
        BOOST_TEST(found[i - 1].blocks >= found[i].blocks);
    }
    BOOST_TEST(found.front().blocks == 9U);
    view.setIncarnation(17, 1);
    view.addBlocks(17, chain);
    const std::array eviction{CacheEvent{chain[9], Kind::Evicted}};
    view.applyEvents(17, 1, 0, eviction);
    BOOST_TEST(heldBy(view, chain, 17) == 9U);
}

BOOST_AUTO_TEST_CASE(aFloodKeepsTheTableAtItsSizeAndTheNewestBlocks)
{
    CacheView view(10'000);
    const std::size_t bytes = view.tableBytes();
    BOOST_TEST(bytes <= 24U * 10'000U);
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        view.addBlocks(static_cast<EngineIndex>(seed % 18), makeChain(seed, 50));
    }
    BOOST_TEST(view.tableBytes() == bytes);
    std::size_t held = 0;
    for (std::uint64_t seed = 900; seed < 1'000; ++seed) {
        held += heldBy(view, makeChain(seed, 50), static_cast<EngineIndex>(seed % 18));
    }
    BOOST_TEST(held > 100U * 50U * 95U / 100U);
    BOOST_TEST(view.heldBlocks() > 10'000U * 9U / 10U);
}

BOOST_AUTO_TEST_SUITE_END()
