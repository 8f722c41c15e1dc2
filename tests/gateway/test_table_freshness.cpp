#include <boost/test/unit_test.hpp>

#include "coordination/store_position.h"
#include "gateway/table_freshness.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{1h};
constexpr Duration window = 2s;

} // namespace

BOOST_AUTO_TEST_SUITE(TableFreshnessTest)

BOOST_AUTO_TEST_CASE(anOldProofMattersOnlyIfANewerConfigurationExists)
{
    TableFreshness freshness;
    freshness.setTable({1, 10}, start);
    BOOST_TEST(!freshness.isOutdated(start + 1h, window));
    BOOST_TEST(freshness.noteNewer(11));
    BOOST_TEST(!freshness.noteNewer(11));
    BOOST_TEST(!freshness.isOutdated(start + 1s, window));
    BOOST_TEST(freshness.isOutdated(start + 2s, window));
    freshness.setTable({2, 11}, start + 3s);
    BOOST_TEST(!freshness.isOutdated(start + 1h, window));
}

BOOST_AUTO_TEST_CASE(aProofOfTheCurrentConfigurationClearsTheNewerOne)
{
    TableFreshness freshness;
    freshness.setTable({1, 10}, start);
    freshness.noteNewer(11);
    freshness.confirm(9, start + 5s);
    BOOST_TEST(freshness.isOutdated(start + 5s, window));
    freshness.confirm(10, start + 5s);
    BOOST_TEST(!freshness.isOutdated(start + 1h, window));
    BOOST_TEST((freshness.age(start + 6s) == 1s));
    freshness.confirm(10, start + 4s);
    BOOST_TEST((freshness.age(start + 6s) == 1s));
}

// Guards against revoked keys that are valid again on a host that starts after the store was restored from an older copy.
BOOST_AUTO_TEST_CASE(aNewerVersionAtAnEarlierRevisionWasLostByTheStore)
{
    TableFreshness freshness;
    BOOST_TEST(!freshness.notePeerTable({7, positionOf(1, 812)})); // No configuration has been read yet.
    freshness.setTable({5, positionOf(2, 800)}, start);
    BOOST_TEST(!freshness.notePeerTable({4, positionOf(1, 700)})); // That host is behind.
    BOOST_TEST(!freshness.notePeerTable({6, positionOf(2, 801)})); // A change that has not arrived yet.
    BOOST_TEST(!freshness.isOutdated(start, window));
    BOOST_TEST(freshness.notePeerTable({7, positionOf(1, 812)}));
    BOOST_TEST(!freshness.notePeerTable({7, positionOf(1, 812)}));
    BOOST_TEST(freshness.isOutdated(start, window));
    freshness.confirm(positionOf(2, 800), start + 1s); // A proof from the older copy doesn't count.
    BOOST_TEST(freshness.isOutdated(start + 1s, window));
    freshness.setTable({7, positionOf(2, 802)}, start + 2s);
    BOOST_TEST(!freshness.isOutdated(start + 2s, window));
}

BOOST_AUTO_TEST_SUITE_END()
