#include <boost/test/unit_test.hpp>

#include "decision/leave_table.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

LeaveTable::Leave leave(std::int64_t incarnation, Duration at)
{
    return {"t", incarnation, start + at, start + at, "h"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeaveTableTest)

BOOST_AUTO_TEST_CASE(aLeaveHoldsForItsIncarnationAndThoseBefore)
{
    LeaveTable table;
    BOOST_TEST(!table.isLeaving("t", 5));
    BOOST_TEST(table.add(leave(5, 0s)));
    BOOST_TEST(table.isLeaving("t", 5));
    BOOST_TEST(table.isLeaving("t", 4));
    BOOST_TEST(!table.isLeaving("t", 6));
    BOOST_TEST(!table.isLeaving("u", 5));
}

// Guards against a target that serves again since an older leave is heard after a newer one.
BOOST_AUTO_TEST_CASE(leavesThatComeLateOrTwiceChangeNothing)
{
    LeaveTable table;
    BOOST_TEST(table.add(leave(5, 2s)));
    LeaveTable::Leave earlier = leave(5, 1s);
    earlier.heardBy = "other";
    BOOST_TEST(!table.add(earlier));
    BOOST_TEST(!table.add(leave(4, 3s)));
    BOOST_TEST(table.find("t")->heardBy == "other");
    BOOST_TEST(table.isLeaving("t", 5));
    BOOST_TEST((table.find("t")->saidAt == start + 1s));
    BOOST_TEST((table.find("t")->heardAt == start + 2s));
    BOOST_TEST(table.add(leave(6, 4s)));
    BOOST_TEST(table.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aLeaveIsForgottenTenMinutesAfterItWasLastHeard)
{
    LeaveTable table;
    table.add(leave(5, 0s));
    table.add(leave(5, 1min));
    table.forgetOld(start + 11min);
    BOOST_TEST(table.isLeaving("t", 5));
    table.forgetOld(start + 11min + 1ms);
    BOOST_TEST(!table.isLeaving("t", 5));
}

BOOST_AUTO_TEST_SUITE_END()
