#include <limits>

#include <boost/test/unit_test.hpp>

#include "coordination/freshness_gate.h"

using namespace Lovageloft;

namespace
{

constexpr Duration window = std::chrono::seconds(3);

TimePoint at(double seconds)
{
    return TimePoint(fromSeconds(100 + seconds));
}

/// The gate of host a among a, b and c. The host holds entry 5 and was started long ago.
FreshnessGate makeGate(HostLists lists = {{"a", "b", "c"}, {}})
{
    FreshnessGate gate("a", window, at(-50));
    gate.setHosts(std::move(lists));
    gate.setVersionHeld(5);
    return gate;
}

PeerVersionReport report(std::string_view host, std::int64_t version = 5, bool isCaughtUp = true, std::uint64_t incarnation = 1)
{
    return {std::string(host), incarnation, version, isCaughtUp};
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessGateTest)

BOOST_AUTO_TEST_CASE(aConfirmationCountsFromItsRequest)
{
    // Guards against a delayed response of the store, which is stuck in a stalled connection while an operator withdraws a key. If the
    // window were counted from its arrival, the gate would stay open for a window in which the key must no longer work.
    FreshnessGate gate = makeGate();
    BOOST_TEST(!gate.isFresh(at(0)));
    gate.onStoreConfirmed(5, at(0));
    BOOST_TEST(gate.isFresh(at(2.99)));
    BOOST_TEST(!gate.isFresh(at(3)));
    gate.onStoreConfirmed(5, at(-1)); // A response that arrives out of order changes nothing.
    BOOST_TEST((gate.freshUntil() == at(3)));
}

BOOST_AUTO_TEST_CASE(aNewerVersionInTheStoreClosesTheGate)
{
    FreshnessGate gate = makeGate();
    gate.onStoreConfirmed(6, at(0));
    BOOST_TEST(!gate.isFresh(at(1)));
    gate.setVersionHeld(6);
    BOOST_TEST(gate.isFresh(at(1)));
}

BOOST_AUTO_TEST_CASE(aMajorityKeepsTheGateOpenWhileTheStoreIsDown)
{
    // Guards against an outage of the store that lasts an hour. Without reports from peers every request in that hour would be refused.
    FreshnessGate gate = makeGate();
    gate.onStoreConfirmed(5, at(0));
    for (int second = 1; second < 3'600; ++second) {
        gate.onPeerVersionReport(report("b"), at(second));
        BOOST_REQUIRE(gate.isFresh(at(second + 2.9)));
    }
    BOOST_TEST(!gate.isFresh(at(3'602)));
}

BOOST_AUTO_TEST_CASE(onlyAFullMajorityWithinTheWindowCounts)
{
    struct Case
    {
        const char *description;
        HostLists lists;
        std::vector<FreshnessGate::TimedVersionReport> reports;
        bool isFresh; ///< Expected at 10 s; the last confirmation by the store is from 0 s.
    };

    const HostLists three{{"a", "b", "c"}, {}};
    const HostLists five{{"a", "b", "c", "d", "e"}, {}};
    const HostLists growing{{"a", "b", "c", "d"}, {"a", "b", "c"}};
    const Case cases[] = {
        {"no reports", three, {}, false},
        {"one of three", three, {{report("b"), at(8)}}, true},
        {"too old", three, {{report("b"), at(7)}}, false},
        {"the peer holds a newer entry", three, {{report("b", 6), at(8)}}, false},
        {"one holds a newer entry, one does not", three, {{report("b", 6), at(8)}, {report("c", 5), at(8)}}, true},
        {"a response that arrives out of order", three, {{report("b", 6), at(9)}, {report("b", 5), at(8)}}, false},
        {"not caught up", three, {{report("b", 5, false), at(8)}}, false},
        {"not listed", three, {{report("x"), at(8)}}, false},
        {"its own report", three, {{report("a"), at(8)}}, false},
        {"its later incarnation has forgotten the entries", three, {{report("b", 0, false, 2), at(8)}, {report("b", 5, true, 1), at(9)}}, false},
        {"one of four peers", five, {{report("b"), at(8)}}, false},
        {"two of four peers", five, {{report("b"), at(8)}, {report("c"), at(9)}}, true},
        {"two hosts: both", {{"a", "b"}, {}}, {}, false},
        {"one host: itself", {{"a"}, {}}, {}, true},
        {"old majority only", growing, {{report("b"), at(8)}}, false},
        {"new majority only", {{"a", "b", "c"}, {"a", "b", "c", "d"}}, {{report("b"), at(8)}}, false},
        {"both majorities", growing, {{report("b"), at(8)}, {report("d"), at(8)}}, true},
        {"itself not listed", {{"b", "c"}, {}}, {{report("b"), at(9)}, {report("c"), at(9)}}, false},
        {"no list: only the store counts", {}, {{report("b"), at(9)}, {report("c"), at(9)}}, false},
    };
    for (const Case &row : cases) {
        FreshnessGate gate = makeGate(row.lists);
        gate.onStoreConfirmed(5, at(0));
        gate.onPeerVersionReports(row.reports);
        BOOST_TEST(gate.isFresh(at(10)) == row.isFresh, row.description);
    }
}

BOOST_AUTO_TEST_CASE(aRestartedHostCountsOnlyOnceItHasCaughtUp)
{
    // Guards against hosts of a rack that restart together while a key is being withdrawn. They hold no entries, and if they counted each
    // other's reports they would accept the key again.
    FreshnessGate gate("a", window, at(0));
    gate.setHosts({{"a", "b", "c"}, {}});
    gate.onPeerVersionReport(report("b", 0, false), at(1));
    gate.onPeerVersionReport(report("c", 0, false), at(1));
    BOOST_TEST(!gate.isCaughtUp());
    gate.setVersionHeld(5);
    gate.onPeerVersionReport(report("b", 5), at(2));
    FreshnessGate relayed = gate;
    relayed.onPeerVersionReport(report("c", 5, true, 0), at(2));
    BOOST_TEST(relayed.isCaughtUp());
    relayed = FreshnessGate("a", window, at(0));
    relayed.setHosts({{"a", "b", "c"}, {}});
    relayed.onPeerVersionReport(report("b", 0), at(2));
    relayed.onPeerVersionReport(report("c", 0, true, 0), at(-1)); // True before the start, and possibly outdated.
    BOOST_TEST(!relayed.isCaughtUp());
    BOOST_TEST(!gate.isCaughtUp()); // The host itself does not count yet, so there is one of three instead of a majority.
    gate.onPeerVersionReport(report("c", 5), at(3));
    BOOST_TEST(gate.isCaughtUp());
    BOOST_TEST(gate.isFresh(at(5.9)));
    FreshnessGate other("a", window, at(0));
    other.setHosts({{"a", "b"}, {}});
    other.onPeerVersionReport(report("b", 0), at(1));
    BOOST_TEST(!other.isCaughtUp()); // With two hosts only the store can confirm.
    other.onStoreConfirmed(0, at(1));
    BOOST_TEST(other.isCaughtUp());
}

BOOST_AUTO_TEST_SUITE_END()
