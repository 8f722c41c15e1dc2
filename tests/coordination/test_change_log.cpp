#include <string>

#include <boost/test/unit_test.hpp>

#include "coordination/change_log.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(ChangeLogTest)

BOOST_AUTO_TEST_CASE(sinceReturnsTheLastChangeOfEachKeyInOrder)
{
    ChangeLog log;
    log.reset(10);
    log.append({"a", "1", 11, false});
    log.append({"b", "1", 12, false});
    log.append({"a", "2", 13, false});
    log.append({"c", "", 15, true});
    const auto all = log.since(10);
    BOOST_REQUIRE(all.has_value());
    BOOST_REQUIRE(all->size() == 3U);
    BOOST_TEST((*all)[0].key == "b");
    BOOST_TEST((*all)[1].value == "2");
    BOOST_TEST((*all)[2].isDeleted);
    BOOST_TEST(log.since(13)->size() == 1U);
    BOOST_TEST(log.since(15)->empty());
}

BOOST_AUTO_TEST_CASE(nothingIsReturnedForRevisionsBeforeTheLog)
{
    // Guards against a host that treats a part of the changes it missed as all of them.
    ChangeLog log;
    log.reset(10);
    BOOST_TEST(!log.since(9).has_value());
    for (int i = 1; i <= 5'000; ++i) {
        log.append({std::to_string(i), "v", 10 + i, false});
    }
    BOOST_TEST(!log.since(10).has_value());
    BOOST_TEST(log.since(5'000).value().size() == 10U);
    log.reset(6'000);
    BOOST_TEST(!log.since(5'500).has_value());
}

BOOST_AUTO_TEST_CASE(nothingIsReturnedWithinACoalescedRange)
{
    // Guards against a host that has seen a key being created, which was deleted before the next list, and that never learns of the
    // deletion.
    ChangeLog log;
    log.reset(10);
    const std::vector<StoreEntry> changes{{"a", "1", 12, false}, {"b", "", 20, true}};
    log.appendCoalesced(10, 20, changes);
    BOOST_TEST(log.since(10)->size() == 2U);
    BOOST_TEST(!log.since(11).has_value());
    BOOST_TEST(!log.since(19).has_value());
    BOOST_TEST(log.since(20)->empty());
    for (int i = 1; i <= 1'023; ++i) {
        log.append({std::to_string(i), "v", 20 + i, false});
    }
    BOOST_TEST(!log.since(12).has_value());
    BOOST_TEST(log.since(20).has_value());
}

BOOST_AUTO_TEST_CASE(longValuesAreLimitedInBytes)
{
    ChangeLog log;
    const std::string value(500'000, 'x');
    for (int i = 1; i <= 100; ++i) {
        log.append({"configuration", value, i, false});
    }
    BOOST_TEST(!log.since(90).has_value());
    BOOST_TEST(log.since(98).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
