#include <boost/test/unit_test.hpp>

#include "decision/eviction_estimator.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EvictionEstimatorTest)

BOOST_AUTO_TEST_CASE(theLeastRecentlyUsedPrefixIsEvictedOnceTheCacheIsFull)
{
    EvictionEstimator budget;
    budget.setCapacity(50'000);
    std::vector<BlockHash> evicted;
    budget.onSent(std::vector<BlockHash>{1, 2}, 20'000, evicted);
    budget.onSent(std::vector<BlockHash>{1, 3}, 20'000, evicted);
    budget.onSent(std::vector<BlockHash>{1, 2}, 4'000, evicted); // Second use of the first prefix.
    BOOST_TEST(evicted.empty());
    budget.onSent(std::vector<BlockHash>{1, 4}, 30'000, evicted);
    BOOST_TEST(evicted.empty());
    budget.onSent({}, 20'000, evicted);
    BOOST_TEST((evicted == std::vector<BlockHash>{1, 3}));
}

BOOST_AUTO_TEST_CASE(manyShortPromptsEvictALongOne)
{
    // A burst of short prompts fills the engine's cache and evicts a long prefix. A host that still expected the prefix there would
    // send requests to an engine that has to recompute it, while another engine holds it.
    EvictionEstimator budget;
    budget.setCapacity(100'000);
    std::vector<BlockHash> evicted;
    budget.onSent(std::vector<BlockHash>{7}, 13'000, evicted);
    for (int i = 0; i < 250; ++i) {
        budget.onSent({}, 400, evicted);
    }
    BOOST_TEST(evicted.empty());
    budget.onSent({}, 400, evicted);
    BOOST_TEST((evicted == std::vector<BlockHash>{7}));
}

BOOST_AUTO_TEST_CASE(withoutAKnownCapacityNothingIsEvicted)
{
    EvictionEstimator budget;
    std::vector<BlockHash> evicted;
    for (BlockHash block = 0; block < 1'000; ++block) {
        budget.onSent(std::vector<BlockHash>{block}, 1e6, evicted);
    }
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_CASE(aClearedEstimatorHoldsNothing)
{
    EvictionEstimator budget;
    budget.setCapacity(10);
    std::vector<BlockHash> evicted;
    budget.onSent(std::vector<BlockHash>{1}, 5, evicted);
    budget.clear();
    budget.onSent(std::vector<BlockHash>{2}, 10, evicted);
    budget.onSent(std::vector<BlockHash>{2}, 10, evicted);
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_SUITE_END()
