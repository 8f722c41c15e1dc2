#include <boost/test/unit_test.hpp>

#include "coordination/in_force_tracker.h"

using namespace Lovageloft;

namespace
{

using Names = std::vector<std::string>;

TimePoint at(double seconds)
{
    return TimePoint(fromSeconds(100 + seconds));
}

/// Tracks entry 1, known to be committed at second 0, with a window of 3 s.
class TrackedEntry
{
public:
    explicit TrackedEntry(HostLists lists)
        : tracker_(std::chrono::seconds(3))
    {
        tracker_.setHosts(std::move(lists));
        tracker_.track(1, at(0));
    }

    void reportHeld(std::string_view host, double seconds, std::int64_t version = 1, bool isCaughtUp = true, std::uint64_t incarnation = 1)
    {
        tracker_.onPeerVersionReport({std::string(host), incarnation, version, isCaughtUp}, at(seconds), at(seconds));
    }

    bool isInForce(double seconds)
    {
        tracker_.advance(at(seconds));
        return tracker_.isInForce(1);
    }

    Names hostsLacking() const
    {
        return tracker_.hostsLacking(1);
    }

private:
    InForceTracker tracker_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(InForceTrackerTest)

BOOST_AUTO_TEST_CASE(anEntryIsInForceAfterAMajorityAndTheWindow)
{
    // A host is cut off from all others. The operator must be told when a withdrawn key no longer works there either, and which host it is.
    TrackedEntry entry({{"a", "b", "c"}, {}});
    entry.reportHeld("a", 0);
    BOOST_TEST(!entry.isInForce(60));
    BOOST_TEST((entry.hostsLacking() == Names{"b", "c"}));
    entry.reportHeld("a", 61);
    entry.reportHeld("b", 61);
    BOOST_TEST((entry.hostsLacking() == Names{"c"}));
    BOOST_TEST(!entry.isInForce(64));
    BOOST_TEST(entry.isInForce(64.04));
}

BOOST_AUTO_TEST_CASE(thereIsNoWaitWhenAllHostsHoldTheEntry)
{
    TrackedEntry entry({{"a", "b", "c"}, {}});
    for (const char *host : {"a", "b", "c"}) {
        entry.reportHeld(host, 1);
    }
    BOOST_TEST(entry.isInForce(1));
}

BOOST_AUTO_TEST_CASE(aRestartedHostNoLongerCountsAsHolder)
{
    // Guards against counting reports that were never true at the same time. Host b reports the entry, restarts and catches up from c,
    // which does not hold the entry yet; c receives it later. A majority has reported the entry, but b now reports no newer entry to a host
    // that is cut off and serves under the older one.
    TrackedEntry entry({{"a", "b", "c"}, {}});
    entry.reportHeld("b", 1);
    entry.reportHeld("b", 2, 0, false, 2);
    entry.reportHeld("c", 3);
    entry.reportHeld("c", 4);
    entry.reportHeld("b", 5, 0, true, 2);
    BOOST_TEST(!entry.isInForce(60));
    TrackedEntry unnoticed({{"a", "b", "c"}, {}});
    unnoticed.reportHeld("b", 1); // It restarts after this, and no host has noticed yet.
    unnoticed.reportHeld("c", 3);
    BOOST_TEST(!unnoticed.isInForce(60));
    unnoticed.reportHeld("b", 61);
    unnoticed.reportHeld("c", 61);
    BOOST_TEST(unnoticed.isInForce(65));
}

BOOST_AUTO_TEST_CASE(aResponseInFlightProvesNoTimeOfHolding)
{
    // The request to c is sent before the other hosts report, and its response arrives after that. It proves no time at which c held the
    // entry, and must not affect the other hosts' reports.
    InForceTracker tracker(std::chrono::seconds(3));
    tracker.setHosts({{"a", "b", "c", "d", "e"}, {}});
    tracker.track(1, at(0));
    tracker.onPeerVersionReport({"c", 1, 1, true}, at(1), at(10));
    for (const char *host : {"a", "b"}) {
        tracker.onPeerVersionReport({host, 1, 1, true}, at(5), at(5));
    }
    tracker.advance(at(60));
    BOOST_TEST(!tracker.isInForce(1));
    tracker.onPeerVersionReport({"d", 1, 1, true}, at(5), at(5));
    tracker.advance(at(60));
    BOOST_TEST(tracker.isInForce(1));
}

BOOST_AUTO_TEST_CASE(aHostThatHasNotCaughtUpIsNoHolder)
{
    TrackedEntry entry({{"a", "b", "c"}, {}});
    entry.reportHeld("a", 1);
    entry.reportHeld("b", 1, 1, false);
    BOOST_TEST(!entry.isInForce(60));
}

BOOST_AUTO_TEST_CASE(aChangeOfHostsNeedsBothMajorities)
{
    TrackedEntry entry({{"a", "b", "c", "d"}, {"a", "b", "c"}});
    for (const char *host : {"a", "d"}) {
        entry.reportHeld(host, 1);
    }
    BOOST_TEST(!entry.isInForce(60));
    for (const char *host : {"a", "b", "d"}) {
        entry.reportHeld(host, 61);
    }
    BOOST_TEST(entry.isInForce(65));
}

BOOST_AUTO_TEST_CASE(smallListsNeedAllTheirHosts)
{
    TrackedEntry two({{"a", "b"}, {}});
    two.reportHeld("a", 1);
    BOOST_TEST(!two.isInForce(60));
    TrackedEntry one({{"a"}, {}});
    one.reportHeld("a", 1);
    BOOST_TEST(one.isInForce(1));
    TrackedEntry none({{}, {}});
    BOOST_TEST(!none.isInForce(3));
    BOOST_TEST(none.isInForce(3.04));
}

BOOST_AUTO_TEST_CASE(aLaterEntryBringsTheEarlierOnesIntoForce)
{
    InForceTracker tracker(std::chrono::seconds(3));
    tracker.setHosts({{"a"}, {}});
    for (std::int64_t sequence = 1; sequence <= 1'000; ++sequence) {
        tracker.track(sequence, at(0));
    }
    tracker.onPeerVersionReport({"a", 1, 1'000, true}, at(1), at(1));
    tracker.advance(at(1));
    BOOST_TEST(tracker.isInForce(1));
    BOOST_TEST(tracker.inForceVersion() == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()
