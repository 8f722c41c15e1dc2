#include <boost/test/unit_test.hpp>

#include "decision/eviction_estimator.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EvictionEstimatorTest)

BOOST_AUTO_TEST_CASE(theLeastRecentlyUsedPrefixIsEvictedOnceTheCacheIsFull)
{
    EvictionEstimator estimator;
    estimator.setCapacity(50'000);
    std::vector<BlockHash> evicted;
    estimator.onSent(std::vector<BlockHash>{1, 2}, 20'000, evicted);
    estimator.onSent(std::vector<BlockHash>{1, 3}, 20'000, evicted);
    estimator.onSent(std::vector<BlockHash>{1, 2}, 4'000, evicted); // Second use of the first prefix.
    BOOST_TEST(evicted.empty());
    estimator.onSent(std::vector<BlockHash>{1, 4}, 30'000, evicted);
    BOOST_TEST(evicted.empty());
    estimator.onSent({}, 20'000, evicted);
    BOOST_TEST((evicted == std::vector<BlockHash>{1, 3}));
}

BOOST_AUTO_TEST_CASE(manyShortPromptsEvictALongOne)
{
    // A burst of short prompts fills the engine's cache and evicts a long prefix. A host that still expected the prefix there would
    // send requests to an engine that has to recompute it, while another engine holds it.
    EvictionEstimator estimator;
    estimator.setCapacity(100'000);
    std::vector<BlockHash> evicted;
    estimator.onSent(std::vector<BlockHash>{7}, 13'000, evicted);
    for (int i = 0; i < 250; ++i) {
        estimator.onSent({}, 400, evicted);
    }
    BOOST_TEST(evicted.empty());
    estimator.onSent({}, 400, evicted);
    BOOST_TEST((evicted == std::vector<BlockHash>{7}));
}

BOOST_AUTO_TEST_CASE(withoutAKnownCapacityNothingIsEvicted)
{
    EvictionEstimator estimator;
    std::vector<BlockHash> evicted;
    for (BlockHash block = 0; block < 1'000; ++block) {
        estimator.onSent(std::vector<BlockHash>{block}, 1e6, evicted);
    }
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_CASE(aClearedEstimatorHoldsNothing)
{
    EvictionEstimator estimator;
    estimator.setCapacity(10);
    std::vector<BlockHash> evicted;
    estimator.onSent(std::vector<BlockHash>{1}, 5, evicted);
    estimator.clear();
    estimator.onSent(std::vector<BlockHash>{2}, 10, evicted);
    estimator.onSent(std::vector<BlockHash>{2}, 10, evicted);
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_SUITE_END()
