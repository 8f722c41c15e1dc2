#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/prefix_heat.h"

using namespace Lovageloft;

namespace
{

constexpr double splitLoad = 0.3;

TimePoint at(double seconds)
{
    return TimePoint(fromSeconds(1000 + seconds));
}

/// Makes a chain of `blocks` blocks that shares its first `shared` blocks with all other chains of the same `root`.
std::vector<BlockHash> chainOf(BlockHash root, std::size_t shared, BlockHash own, std::size_t blocks)
{
    std::vector<BlockHash> chain;
    for (std::size_t i = 1; i <= blocks; ++i) {
        chain.push_back((i <= shared ? root : own) * 1'000'003 + i);
    }
    return chain;
}

/// Adds work for a chain at `load` engine-seconds per second, from `from` until `until`.
void addLoad(PrefixHeat &heat, std::span<const BlockHash> chain, double load, double from, double until)
{
    for (double now = from; now < until; now += 0.1) {
        heat.add(chain, load / 10, at(now));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixHeatTest)

BOOST_AUTO_TEST_CASE(candidatesFollowTheLoadUpAndDown)
{
    // A prefix is hot for a minute. Kept on two engines its requests would queue; kept on sixteen engines afterwards it would evict
    // other prefixes from sixteen caches.
    PrefixHeat heat(splitLoad);
    const std::vector<BlockHash> chain = chainOf(1, 16, 1, 16);
    BOOST_TEST(heat.route(chain, at(0)).candidates == 2U);
    addLoad(heat, chain, 2.4, 0, 60);
    const PrefixRoute hot = heat.route(chain, at(60));
    BOOST_TEST(hot.level == 16U);
    BOOST_TEST(hot.replicas >= 8U);
    BOOST_TEST(hot.candidates == hot.replicas);
    BOOST_TEST(heat.route(chain, at(120)).replicas == 1U);
    BOOST_TEST(heat.route(chain, at(120)).candidates == 2U);
}

BOOST_AUTO_TEST_CASE(aHotPrefixIsSplitOnlyWhereItsChildrenAreShared)
{
    PrefixHeat heat(splitLoad);
    const std::vector<BlockHash> table = chainOf(1, 16, 7, 32);
    addLoad(heat, table, 1.2, 0, 60);
    BOOST_TEST(heat.route(table, at(60)).level == 32U);
    // A prompt whose continuation is not shared is routed by the shared prefix.
    BOOST_TEST(heat.route(chainOf(1, 16, 99, 32), at(60)).level == 16U);
}

BOOST_AUTO_TEST_CASE(aSplitIsKeptUntilHalfTheLoad)
{
    // Without hysteresis a load near the limit would alternate between the levels. Each change places the longer prefixes on other
    // engines, and requests wait for their prefill.
    PrefixHeat heat(splitLoad);
    const std::vector<BlockHash> chain = chainOf(1, 16, 7, 32);
    const double limit = 2 * splitLoad;
    addLoad(heat, chain, 0.9 * limit, 0, 100);
    BOOST_TEST(heat.route(chain, at(100)).level == 16U);
    addLoad(heat, chain, 1.3 * limit, 100, 200);
    BOOST_TEST(heat.route(chain, at(200)).level == 32U);
    addLoad(heat, chain, 0.8 * limit, 200, 300);
    BOOST_TEST(heat.route(chain, at(300)).level == 32U);
    addLoad(heat, chain, 0.3 * limit, 300, 400);
    BOOST_TEST(heat.route(chain, at(400)).level == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
