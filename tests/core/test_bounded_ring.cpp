#include <chrono>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "core/bounded_ring.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(BoundedRingTest)

BOOST_AUTO_TEST_CASE(aFullRingRefusesAndLeavesTheItem)
{
    // One duty falls behind and the ring before it fills. A caller would notice a request that vanishes
    // when the item were lost on refusal.
    BoundedRing<std::unique_ptr<int>> ring(1);
    BOOST_TEST(ring.tryPush(std::make_unique<int>(1)));
    auto second = std::make_unique<int>(2);
    BOOST_TEST(!ring.tryPush(std::move(second)));
    BOOST_REQUIRE(second != nullptr); // NOLINT(bugprone-use-after-move)
    BOOST_TEST(*second == 2); // NOLINT(bugprone-use-after-move)
}

BOOST_AUTO_TEST_CASE(itemsComeOutInOrderAlsoAfterClosing)
{
    BoundedRing<int> ring(3);
    for (int round = 0; round < 5; ++round) {
        BOOST_TEST(ring.tryPush(2 * round));
        BOOST_TEST(ring.tryPush(2 * round + 1));
        BOOST_TEST(ring.pop(std::chrono::seconds(0)).value() == 2 * round);
        BOOST_TEST(ring.pop(std::chrono::seconds(0)).value() == 2 * round + 1);
    }
    BOOST_TEST(ring.tryPush(7));
    ring.close();
    BOOST_TEST(!ring.tryPush(8));
    BOOST_TEST(ring.pop(std::chrono::seconds(0)).value() == 7);
    BOOST_TEST(!ring.pop(std::chrono::seconds(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
