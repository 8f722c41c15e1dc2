#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/cache_plan.h"

using namespace Lovageloft;

namespace
{

constexpr std::string_view store = "10.0.0.9:80";

} // namespace

BOOST_AUTO_TEST_SUITE(CachePlanTest)

BOOST_AUTO_TEST_CASE(aPromptWithFewSharedTokensIsFetchedButNotSaved)
{
    // Guards against a saturated link of the cache store. Long explanations have 20,000 unique tokens and 3,000 shared ones; twenty such saves
    // a second fill the link, fetches for other prompts wait behind them, and the store declines saves that others could use.
    const CachePlan plan = planCache({23'000, 3'000, 0, store, {}});
    BOOST_TEST(plan.fetchFrom == store);
    BOOST_TEST(plan.saveTo.empty());
    BOOST_TEST(planCache({12'000, 5'400, 0, store, {}}).saveTo == store);
}

BOOST_AUTO_TEST_CASE(shortSharedPartsAreFetchedAndSavedToo)
{
    // The prompt that sorts a ticket has 570 shared tokens. If such short parts were skipped, every engine would compute each of them after
    // every change of weights.
    const CachePlan plan = planCache({2'200, 570, 0, store, {}});
    BOOST_TEST(plan.fetchFrom == store);
    BOOST_TEST(plan.saveTo == store);
    BOOST_TEST(planCache({500, 200, 0, store, {}}).saveTo == store);
}

BOOST_AUTO_TEST_CASE(sharedPartsInTheEnginesCacheAreNotSavedAgain)
{
    BOOST_TEST(planCache({2'300, 570, 512, store, {}}).saveTo.empty());
    BOOST_TEST(planCache({17'000, 13'300, 13'056, store, {}}).saveTo.empty());
    BOOST_TEST(planCache({17'000, 13'300, 1'024, store, {}}).saveTo == store);
}

BOOST_AUTO_TEST_CASE(anEngineThatHoldsThePartsIsPreferredToTheStore)
{
    BOOST_TEST(planCache({17'000, 13'300, 0, store, "10.0.0.5:8000"}).fetchFrom == "10.0.0.5:8000");
    BOOST_TEST(planCache({17'000, 13'300, 0, {}, "10.0.0.5:8000"}).fetchFrom == "10.0.0.5:8000");
}

BOOST_AUTO_TEST_CASE(partsAreFetchedFromTheNearestSource)
{
    // Guards against prompts that are computed again although a store of another data centre holds them, as the engine asks its own store.
    const CacheSource near{"engine-here", false, true};
    const CacheSource nearStore{"store-here", true, true};
    const CacheSource far{"engine-there", false, false};
    const CacheSource farStore{"store-there", true, false};
    BOOST_TEST(chooseCacheSource({}) == nullptr);
    BOOST_TEST(chooseCacheSource(std::vector{far, near, farStore})->address == "engine-here");
    BOOST_TEST(chooseCacheSource(std::vector{far, near, nearStore})->address == "store-here");
    BOOST_TEST(chooseCacheSource(std::vector{far, farStore})->address == "store-there");
}

BOOST_AUTO_TEST_CASE(aPromptWithoutSharedTokensIsNeitherFetchedNorSaved)
{
    const CachePlan plan = planCache({2'300, 0, 0, store, {}});
    BOOST_TEST(plan.fetchFrom.empty());
    BOOST_TEST(plan.saveTo.empty());
}

BOOST_AUTO_TEST_SUITE_END()
