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
    // An engine crashes and comes back empty, many times over. A request placed by entries of an earlier start would wait
    // for its whole prefix to be computed, while a caller was to see it at once.
    CacheView view(10'000);
    for (std::uint64_t incarnation = 1; incarnation < 100; ++incarnation) {
        view.setIncarnation(3, incarnation);
        for (std::uint64_t past = 1; past < incarnation; ++past) {
            BOOST_REQUIRE(heldBy(view, makeChain(past, 4), 3) == 0);
        }
        view.learn(3, makeChain(incarnation, 4));
        BOOST_REQUIRE(heldBy(view, makeChain(incarnation, 4), 3) == 4);
        BOOST_REQUIRE(view.heldBlocks() == 4);
    }
}

BOOST_AUTO_TEST_CASE(lateEventsOfADeadEngineAreIgnored)
{
    // Events of the crashed engine are still on their way when the new one has announced itself.
    CacheView view(1'000);
    const std::vector<BlockHash> chain = makeChain(1, 2);
    view.setIncarnation(0, 7);
    const std::array late{CacheEvent{chain[0], Kind::Stored}, CacheEvent{chain[1], Kind::Stored}};
    view.applyEvents(0, 6, 0, late);
    BOOST_TEST(heldBy(view, chain, 0) == 0U);
    view.applyEvents(0, 7, 0, late);
    BOOST_TEST(heldBy(view, chain, 0) == 2U);
}

BOOST_AUTO_TEST_CASE(aGapTurnsEntriesIntoHintsUntilAResync)
{
    // The event stream loses entries, an eviction maybe among them. Nobody notices at once; prompts sent for a block that
    // is gone take long.
    CacheView view(1'000);
    const std::vector<BlockHash> chain = makeChain(1, 6);
    const std::array first{CacheEvent{chain[0], Kind::Stored}, CacheEvent{chain[1], Kind::Stored}};
    const std::array later{CacheEvent{chain[2], Kind::Stored}, CacheEvent{chain[3], Kind::Evicted}};
    view.applyEvents(0, 1, 0, first);
    BOOST_TEST(!view.isHint(0));
    view.applyEvents(0, 1, 5, later);
    BOOST_TEST(view.isHint(0));
    BOOST_TEST(heldBy(view, chain, 0) == 3U);
    view.applyEvents(0, 1, 5, later); // Repeated events change nothing.
    view.resync(0, 1, 9, std::span(chain).first(1));
    BOOST_TEST(!view.isHint(0));
    BOOST_TEST(heldBy(view, chain, 0) == 1U);
    BOOST_TEST(view.heldBlocks() == 1U);
}

BOOST_AUTO_TEST_CASE(theLongestPrefixComesFirstAndEvictionsShortenIt)
{
    CacheView view(1'000);
    const std::vector<BlockHash> chain = makeChain(1, 10);
    for (EngineIndex engine = 0; engine < 18; ++engine) {
        view.learn(engine, std::span(chain).first(1 + engine / 2));
    }
    std::array<HeldPrefix, 18> found;
    BOOST_REQUIRE(view.findHolders(chain, found) == 18U);
    for (std::size_t i = 1; i < found.size(); ++i) {
        BOOST_TEST(found[i - 1].blocks >= found[i].blocks);
    }
    BOOST_TEST(found.front().blocks == 9U);
    view.setIncarnation(17, 1);
    view.learn(17, chain);
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
        view.learn(static_cast<EngineIndex>(seed % 18), makeChain(seed, 50));
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
