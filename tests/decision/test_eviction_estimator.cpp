#include <boost/test/unit_test.hpp>

#include "decision/eviction_estimator.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EvictionEstimatorTest)

BOOST_AUTO_TEST_CASE(whatWasUsedLeastRecentlyIsDroppedOnceTheMemoryIsFull)
{
    EvictionEstimator budget;
    budget.setCapacity(50'000);
    std::vector<BlockHash> dropped;
    budget.onSent(std::vector<BlockHash>{1, 2}, 20'000, dropped);
    budget.onSent(std::vector<BlockHash>{1, 3}, 20'000, dropped);
    budget.onSent(std::vector<BlockHash>{1, 2}, 4'000, dropped); // Used again.
    BOOST_TEST(dropped.empty());
    budget.onSent(std::vector<BlockHash>{1, 4}, 30'000, dropped);
    BOOST_TEST(dropped.empty());
    budget.onSent({}, 20'000, dropped);
    BOOST_TEST((dropped == std::vector<BlockHash>{1, 3}));
}

BOOST_AUTO_TEST_CASE(manyShortPromptsPushALongOneOut)
{
    // A burst of short questions fills an engine's memory. A host that went on believing in the chapter there would send its readers to
    // an engine that computes it anew, while another one holds it.
    EvictionEstimator budget;
    budget.setCapacity(100'000);
    std::vector<BlockHash> dropped;
    budget.onSent(std::vector<BlockHash>{7}, 13'000, dropped);
    for (int i = 0; i < 250; ++i) {
        budget.onSent({}, 400, dropped);
    }
    BOOST_TEST(dropped.empty());
    budget.onSent({}, 400, dropped);
    BOOST_TEST((dropped == std::vector<BlockHash>{7}));
}

BOOST_AUTO_TEST_CASE(withoutAKnownMemoryNothingIsDropped)
{
    EvictionEstimator budget;
    std::vector<BlockHash> dropped;
    for (BlockHash block = 0; block < 1'000; ++block) {
        budget.onSent(std::vector<BlockHash>{block}, 1e6, dropped);
    }
    BOOST_TEST(dropped.empty());
}

BOOST_AUTO_TEST_CASE(anEngineThatLostEverythingBeginsAnew)
{
    EvictionEstimator budget;
    budget.setCapacity(10);
    std::vector<BlockHash> dropped;
    budget.onSent(std::vector<BlockHash>{1}, 5, dropped);
    budget.clear();
    budget.onSent(std::vector<BlockHash>{2}, 10, dropped);
    budget.onSent(std::vector<BlockHash>{2}, 10, dropped);
    BOOST_TEST(dropped.empty());
}

BOOST_AUTO_TEST_SUITE_END()
