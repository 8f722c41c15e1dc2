#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/cache_stores.h"

using namespace Lovageloft;

namespace
{

constexpr std::string_view here = "zone-a";
constexpr std::string_view there = "zone-b";
constexpr BlockHash prefix = 7;
constexpr BlockHash otherPrefix = 8;

struct Fixture
{
    CacheStores stores;

    Fixture()
    {
        stores.setStores({{"store-a", std::string(here), 40'000}, {"store-b", std::string(there), 40'000}});
        stores.setAlive("store-a", true);
        stores.setAlive("store-b", true);
    }

    bool isHeld(BlockHash block) const
    {
        return !stores.sourcesOf(block, here).empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CacheStoresTest, Fixture)

BOOST_AUTO_TEST_CASE(aPromptSavedInAnotherDataCentreIsFound)
{
    // Guards against shared parts that each data centre computes anew, because engines ask only the store next to them.
    BOOST_TEST(!isHeld(prefix));
    stores.onSaved(there, std::vector{prefix}, 17'000);
    const auto sources = stores.sourcesOf(prefix, here);
    BOOST_REQUIRE(sources.size() == 1U);
    BOOST_TEST(sources.front().address == "store-b");
    BOOST_TEST(!sources.front().isLocal);
    stores.onSaved(here, std::vector{prefix}, 17'000);
    BOOST_TEST(stores.sourcesOf(prefix, here).size() == 2U);
}

BOOST_AUTO_TEST_CASE(theLeastRecentlySavedPromptIsEvicted)
{
    stores.onSaved(there, std::vector{prefix}, 17'000);
    stores.onSaved(there, std::vector{otherPrefix}, 17'000);
    BOOST_TEST(isHeld(prefix));
    stores.onSaved(there, std::vector<BlockHash>{9}, 30'000);
    BOOST_TEST(!isHeld(prefix));
    BOOST_TEST(isHeld(otherPrefix));
}

BOOST_AUTO_TEST_CASE(aStoreThatStoppedRespondingHoldsNothing)
{
    // Guards against fetches from a store that restarted empty, or that does not respond.
    stores.onSaved(there, std::vector{prefix}, 17'000);
    stores.setAlive("store-b", false);
    BOOST_TEST(!isHeld(prefix));
    BOOST_TEST(stores.storeFor(there) == "store-a");
    stores.setAlive("store-b", true);
    BOOST_TEST(!isHeld(prefix));
    BOOST_TEST(stores.storeFor(there) == "store-b");
}

BOOST_AUTO_TEST_SUITE_END()
