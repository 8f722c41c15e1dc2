#define BOOST_TEST_MODULE load_of_fleets
#include "tests/overload/fleet_goals.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(LoadOfFleetsTest)

// Guards against engines that idle, or teams and classes that crowd out others, because hosts decide on partial knowledge.
BOOST_DATA_TEST_CASE(overloadIsSharedFairly, Data::make(fleets) * Data::make(teamCounts), hosts, teams)
{
    checkGoals({.hosts = hosts, .teams = teams});
}

// Guards against shares that depend on each digest arriving.
BOOST_DATA_TEST_CASE(lostDigestsDoNotUnbalanceShares, Data::make(fleets) * Data::make(teamCounts), hosts, teams)
{
    checkGoals({.hosts = hosts, .teams = teams, .lostPart = 0.1});
}

// Guards against oscillation when digests are late.
BOOST_DATA_TEST_CASE(lateDigestsCauseNoOscillation, Data::make(fleets) * Data::make(teamCounts), hosts, teams)
{
    checkGoals({.hosts = hosts, .teams = teams, .delay = 50ms});
}

BOOST_AUTO_TEST_SUITE_END()
