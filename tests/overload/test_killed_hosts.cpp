#define BOOST_TEST_MODULE killed_hosts
#include "tests/overload/fleet_goals.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(KilledHostsTest)

// Guards against capacity that stays reserved for demand of hosts that no longer exist.
BOOST_DATA_TEST_CASE(killedHostsLeaveNoCapacityUnused, Data::make(fleets) * Data::make(teamCounts), hosts, teams)
{
    checkGoals({.hosts = hosts, .teams = teams, .killedPart = 0.25});
}

BOOST_AUTO_TEST_SUITE_END()
