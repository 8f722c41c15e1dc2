#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "coordination/broadcast_plan.h"

using namespace Lovageloft;

namespace
{

constexpr std::size_t fleetSizes[] = {0, 1, 8, 16, 17, 79, 294, 999};

/// Assigns receivers evenly to data centres.
std::vector<std::size_t> assignDataCentres(std::size_t receivers, std::size_t dataCentres)
{
    std::vector<std::size_t> dataCentreOf;
    for (std::size_t i = 0; i < receivers; ++i) {
        dataCentreOf.push_back(i % dataCentres);
    }
    return dataCentreOf;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BroadcastPlanTest)

BOOST_AUTO_TEST_CASE(everyReceiverIsReachedOnce)
{
    Random random(1);
    for (const std::size_t count : fleetSizes) {
        for (const std::size_t dataCentres : {1U, 2U, 5U}) {
            std::vector<int> reached(count);
            for (const BroadcastBranch &branch : planBroadcast(assignDataCentres(count, dataCentres), random)) {
                ++reached.at(branch.forwarder);
                for (const std::size_t receiver : branch.receivers) {
                    ++reached.at(receiver);
                }
            }
            BOOST_TEST(std::all_of(reached.begin(), reached.end(), [](int times) { return times == 1; }), count);
        }
    }
}

BOOST_AUTO_TEST_CASE(noHostSendsMuchMoreThanTheSquareRootOfTheFleet)
{
    // Guards against one host's link being saturated by what it sends to hundreds of others.
    Random random(2);
    for (const auto &[count, maxReceivers] : {std::pair(294U, 20U), std::pair(999U, 35U)}) {
        for (const std::size_t dataCentres : {1U, 5U, 8U}) {
            const auto branches = planBroadcast(assignDataCentres(count, dataCentres), random);
            BOOST_TEST(branches.size() <= maxReceivers + dataCentres);
            for (const BroadcastBranch &branch : branches) {
                BOOST_TEST(branch.receivers.size() <= maxReceivers);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(fewCopiesCrossBetweenDataCentres)
{
    // Guards against notices to hundreds of hosts making up most of the traffic between data centres.
    Random random(3);
    const auto dataCentreOf = assignDataCentres(294, 5);
    std::size_t crossing = 0;
    for (const BroadcastBranch &branch : planBroadcast(dataCentreOf, random)) {
        crossing += dataCentreOf[branch.forwarder] != 0 ? 1 : 0;
        BOOST_TEST(std::all_of(
            branch.receivers.begin(), branch.receivers.end(), [&](std::size_t receiver) { return dataCentreOf[receiver] == dataCentreOf[branch.forwarder]; }));
    }
    BOOST_TEST(crossing <= 16U);
}

BOOST_AUTO_TEST_CASE(aDeadForwarderDoesNotCutReceiversOff)
{
    // Guards against a host that receives no broadcast for as long as one other host is dead.
    Random random(4);
    constexpr std::size_t dead = 7;
    constexpr std::size_t receiver = 102;
    int lost = 0;
    for (int i = 0; i < 200; ++i) {
        for (const BroadcastBranch &branch : planBroadcast(assignDataCentres(294, 5), random)) {
            const bool isBehindDead = branch.forwarder == dead && std::count(branch.receivers.begin(), branch.receivers.end(), receiver) == 1;
            lost += isBehindDead ? 1 : 0;
        }
    }
    BOOST_TEST(lost < 20);
}

BOOST_AUTO_TEST_CASE(aSmallFleetIsReachedDirectly)
{
    Random random(5);
    for (const BroadcastBranch &branch : planBroadcast(assignDataCentres(8, 3), random)) {
        BOOST_TEST(branch.receivers.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
