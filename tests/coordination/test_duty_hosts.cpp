#include <boost/test/unit_test.hpp>

#include "coordination/duty_hosts.h"

using namespace Lovageloft;

namespace
{

std::map<std::string, HostCapacity> fleet(int large, int small)
{
    std::map<std::string, HostCapacity> hosts;
    for (int i = 0; i < large; ++i) {
        hosts["large-" + std::to_string(i)] = {0.5, 200};
    }
    for (int i = 0; i < small; ++i) {
        hosts["small-" + std::to_string(i)] = {0.12, 20};
    }
    return hosts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DutyHostsTest)

BOOST_AUTO_TEST_CASE(largeHostsPerformTheDuties)
{
    // Guards against a host with a tenth of the others' link rate having to notify the whole fleet of changes.
    const auto names = dutyHosts(fleet(15, 280));
    BOOST_TEST(names.size() == 15U);
    BOOST_TEST(names.front() == "large-0");
}

BOOST_AUTO_TEST_CASE(tooFewLargeHostsAreNotReliedOn)
{
    BOOST_TEST(dutyHosts(fleet(7, 280)).size() == 287U);
    BOOST_TEST(dutyHosts(fleet(0, 9)).size() == 9U);
    BOOST_TEST(dutyHosts({}).empty());
}

BOOST_AUTO_TEST_CASE(aHostOfUnknownCapacityPerformsNoDutiesIfOthersCan)
{
    auto hosts = fleet(8, 0);
    hosts["other"] = {};
    BOOST_TEST(dutyHosts(hosts).size() == 8U);
    BOOST_TEST(dutyHosts({{"a", {}}, {"b", {}}}).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
