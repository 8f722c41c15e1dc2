#pragma once

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/overload/fleet_model.h"

namespace Lovageloft
{

using namespace std::chrono_literals;
namespace Data = boost::unit_test::data;

inline constexpr std::size_t fleets[] = {9, 87, 295};
inline constexpr std::size_t teamCounts[] = {1, 4, 16};

/// A window of 10 s can have a few more digests than the average window of that length.
inline constexpr double edgeDigestRate = 1;

/// Plays three times the capacity, with requests of 30 to 90 ms that are wanted within 500 ms, for 10 s, and checks the goals. Before, each team
/// has been named twice in digests.
inline void checkGoals(const FleetModel::Options &options)
{
    const FleetModel::Result result = FleetModel(options).run(std::max<Duration>(5s, 4 * digestInterval(options.hosts)), 10s);
    const auto &[first, second, third] = result.servedPart;
    BOOST_TEST_MESSAGE(options.hosts << " hosts, " << options.teams << " teams: utilisation " << result.utilisation << ", worst team " << result.fairness
                                     << ", classes " << first << " " << second << " " << third << ", of a single queue " << result.ofSingleQueue << " and "
                                     << result.ofSelectiveQueue << ", late " << result.latePart << ", digests a second " << result.digestRate);
    BOOST_TEST(result.utilisation > 0.95);
    BOOST_TEST(result.fairness > 0.9);
    BOOST_TEST(second <= first + 0.05);
    BOOST_TEST(third <= second + 0.05);
    BOOST_TEST(result.ofSingleQueue >= 0.9);
    BOOST_TEST(result.digestRate <= 100 + edgeDigestRate);
}

} // namespace Lovageloft
