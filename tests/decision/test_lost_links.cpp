#define BOOST_TEST_MODULE lost_links
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/decision/cut_model.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr double requestsPerSecond = 30;
constexpr Duration detectionTime = 1s;
constexpr Duration countedTime = 3s;
constexpr Duration recoveryTime = 4s;

/// Of the first attempts at cut hosts relative to those at the others, and how many of them may fail there.
constexpr double goal = 0.95;

/// A fleet and the number of seeds for it.
struct Size
{
    std::size_t hosts;
    std::size_t targets;
    std::uint64_t seeds;
};

std::ostream &operator<<(std::ostream &out, const Size &size)
{
    return out << size.hosts << " hosts";
}

const Size sizes[] = {{9, 21, 250}, {90, 100, 6}, {295, 300, 1}};

/// Which hosts lose their links.
enum class Cut : std::uint8_t
{
    One,
    TwoThirds,
    DataCentre,
    AllButOne,
};

struct Schedule
{
    Cut cut = Cut::One;
    ModelLink link = ModelLink::Up;
    bool isOneService = false; ///< Only the links to one of two services.
};

std::set<std::size_t> hostsOf(Cut cut, const CutModel &model, std::size_t hosts)
{
    std::set<std::size_t> chosen;
    for (std::size_t host = 0; host < hosts; ++host) {
        const bool isChosen = (cut == Cut::One && host == 0) || (cut == Cut::TwoThirds && host * 3 < hosts * 2)
            || (cut == Cut::DataCentre && model.dataCentreOf(host) == 0) || (cut == Cut::AllButOne && host > 0);
        if (isChosen) {
            chosen.insert(host);
        }
    }
    return chosen;
}

CutModel::Count sum(const std::vector<CutModel::Count> &counts, const std::set<std::size_t> &hosts, bool isIn)
{
    CutModel::Count total;
    for (std::size_t host = 0; host < counts.size(); ++host) {
        if (hosts.contains(host) != isIn) {
            continue;
        }
        total.sent += counts[host].sent;
        total.served += counts[host].served;
        total.relayed += counts[host].relayed;
        total.longestPath = std::max(total.longestPath, counts[host].longestPath);
    }
    return total;
}

/// Seeds from the environment replace those of the tests, for long runs by hand.
std::uint64_t seedsOf(const Size &size)
{
    const char *text = std::getenv("LOST_LINKS_SEEDS"); // NOLINT(concurrency-mt-unsafe): no other thread.
    return text != nullptr ? std::strtoull(text, nullptr, 10) : size.seeds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LostLinks)

// Guards against hosts that serve far fewer first attempts than the others while only their own links are lost, and that swing or stay on other
// hosts once the links are back.
BOOST_DATA_TEST_CASE(hostsWithoutLinksServeAsManyAsTheOthers,
                     boost::unit_test::data::make(sizes) * boost::unit_test::data::make({0, 1, 2, 3}) * boost::unit_test::data::make({1, 2})
                         * boost::unit_test::data::make({false, true}),
                     size,
                     cutNumber,
                     linkNumber,
                     isOneService)
{
    const Schedule schedule{static_cast<Cut>(cutNumber), static_cast<ModelLink>(linkNumber), isOneService};
    const std::uint64_t seeds = std::max<std::uint64_t>(seedsOf(size) / 4, 1);
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        CutModel model({size.hosts, size.targets, 3, seed * 16 + static_cast<std::uint64_t>(cutNumber * 4 + linkNumber), true});
        model.run(1s, requestsPerSecond);
        const std::set<std::size_t> cut = hostsOf(schedule.cut, model, size.hosts);
        const auto isMeant = [&](std::size_t target) { return !schedule.isOneService || target % 2 == 0; };
        for (const std::size_t host : cut) {
            model.setLinks(host, schedule.link, isMeant);
        }
        model.run(detectionTime, requestsPerSecond);
        const auto counts = model.run(countedTime, requestsPerSecond);
        const CutModel::Count atCut = sum(counts, cut, true);
        const CutModel::Count atOthers = sum(counts, cut, false);
        BOOST_TEST(atCut.servedShare() >= goal * atOthers.servedShare(), "seed " << seed << ": served " << atCut.served << " of " << atCut.sent);
        BOOST_TEST(atOthers.served == atOthers.sent, "seed " << seed << ": others served " << atOthers.served << " of " << atOthers.sent);
        for (const std::size_t host : cut) {
            model.setLinks(host, ModelLink::Up, [](std::size_t) { return true; });
        }
        model.run(recoveryTime, requestsPerSecond);
        const auto after = model.run(1s, requestsPerSecond);
        const CutModel::Count restored = sum(after, cut, true);
        BOOST_TEST(restored.relayed == 0U, "seed " << seed << ": " << restored.relayed << " still relayed");
        BOOST_TEST(restored.served == restored.sent);
    }
}

// Guards against requests that wait for paths that can't lead anywhere while no host reaches any target.
BOOST_DATA_TEST_CASE(aFleetWithoutAnyLinkRefusesAtOnce, boost::unit_test::data::make(sizes) * boost::unit_test::data::make({1, 2}), size, linkNumber)
{
    CutModel model({size.hosts, size.targets, 3, 1, true});
    for (std::size_t host = 0; host < size.hosts; ++host) {
        model.setLinks(host, static_cast<ModelLink>(linkNumber), [](std::size_t) { return true; });
    }
    model.run(detectionTime * 2, requestsPerSecond);
    const CutModel::Count all = sum(model.run(countedTime, requestsPerSecond), {}, false);
    BOOST_TEST(all.served == 0U);
    BOOST_TEST(all.longestPath < 700ms);
}

// Guards against a target that is down for all hosts and costs each request the time of several paths.
BOOST_DATA_TEST_CASE(aTargetThatIsDownForAllIsNotAskedForThroughManyHosts, boost::unit_test::data::make(sizes), size)
{
    CutModel model({size.hosts, size.targets, 3, 2, true});
    model.setTargetDown(0, true);
    model.run(detectionTime, requestsPerSecond);
    const CutModel::Count all = sum(model.run(countedTime, requestsPerSecond), {}, false);
    BOOST_TEST(all.longestPath < 100ms);
    BOOST_TEST(all.servedShare() > 1 - 2.0 / static_cast<double>(size.targets));
}

// Guards against a fleet in which a few targets that fail at the same moment look like lost links to every host, so that none connects to the
// other targets any more.
BOOST_DATA_TEST_CASE(targetsThatFailTogetherDoNotTakeTheOthersAlong,
                     boost::unit_test::data::make(sizes) * boost::unit_test::data::make({2, 4, 7}),
                     size,
                     failing)
{
    for (std::uint64_t seed = 0; seed < std::max<std::uint64_t>(size.seeds / 10, 1); ++seed) {
        CutModel model({size.hosts, size.targets, 3, seed, true});
        model.run(1s, requestsPerSecond);
        for (int target = 0; target < failing; ++target) {
            model.setTargetDown(static_cast<std::size_t>(target) * 2, true); // All of one service.
        }
        model.run(detectionTime, requestsPerSecond);
        const CutModel::Count all = sum(model.run(countedTime, requestsPerSecond), {}, false);
        const double share = 1 - static_cast<double>(failing) / static_cast<double>(size.targets);
        BOOST_TEST(all.servedShare() > goal * share, "seed " << seed << ": served " << all.served << " of " << all.sent);
    }
}

// Guards against a few of the remaining hosts that relay for all others.
BOOST_DATA_TEST_CASE(theRemainingHostsShareTheLoad, boost::unit_test::data::make(sizes), size)
{
    CutModel model({size.hosts, size.targets, 3, 3, true});
    const std::set<std::size_t> cut = hostsOf(Cut::TwoThirds, model, size.hosts);
    for (const std::size_t host : cut) {
        model.setLinks(host, ModelLink::Refuses, [](std::size_t) { return true; });
    }
    model.run(detectionTime, requestsPerSecond);
    model.takeRelayed();
    model.run(countedTime, requestsPerSecond);
    const std::vector<std::size_t> relayed = model.takeRelayed();
    std::size_t total = 0;
    std::size_t most = 0;
    for (const std::size_t count : relayed) {
        total += count;
        most = std::max(most, count);
    }
    const double mean = static_cast<double>(total) / static_cast<double>(size.hosts - cut.size());
    BOOST_TEST(static_cast<double>(most) <= 2.5 * mean);
}

// Guards against links that are taken for lost and restored with each change of a link that comes and goes.
BOOST_AUTO_TEST_CASE(aLinkThatComesAndGoesDoesNotSwing)
{
    CutModel model({9, 21, 3, 4, true});
    std::size_t sent = 0;
    std::size_t served = 0;
    for (int i = 0; i < 20; ++i) {
        model.setLinks(0, i % 2 == 0 ? ModelLink::Hangs : ModelLink::Up, [](std::size_t) { return true; });
        const auto counts = model.run(250ms, requestsPerSecond);
        sent += counts[0].sent;
        served += counts[0].served;
    }
    BOOST_TEST(static_cast<double>(served) >= goal * static_cast<double>(sent));
    BOOST_TEST(model.changes(0) < 60U);
}

BOOST_AUTO_TEST_SUITE_END()
