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

/// Follows entry 1 since second 0, with a window of 3 s.
class Tracked
{
public:
    explicit Tracked(HostLists lists)
        : tracker_(std::chrono::seconds(3))
    {
        tracker_.setHosts(std::move(lists));
        tracker_.track(1, at(0));
    }

    void hold(std::string_view host, double seconds, std::int64_t version = 1, bool isCaughtUp = true, std::uint64_t incarnation = 1)
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

BOOST_AUTO_TEST_CASE(aMajorityAndTheWindowBringItIntoForce)
{
    // A host is cut off from all others. The operator must learn when the withdrawn key is dead there too, and which host it is.
    Tracked entry({{"a", "b", "c"}, {}});
    entry.hold("a", 0);
    BOOST_TEST(!entry.isInForce(60));
    BOOST_TEST((entry.hostsLacking() == Names{"b", "c"}));
    entry.hold("a", 61);
    entry.hold("b", 61);
    BOOST_TEST((entry.hostsLacking() == Names{"c"}));
    BOOST_TEST(!entry.isInForce(64));
    BOOST_TEST(entry.isInForce(64.04));
}

BOOST_AUTO_TEST_CASE(whenAllHoldItNothingIsWaitedFor)
{
    Tracked entry({{"a", "b", "c"}, {}});
    for (const char *host : {"a", "b", "c"}) {
        entry.hold(host, 1);
    }
    BOOST_TEST(entry.isInForce(1));
}

BOOST_AUTO_TEST_CASE(aRestartedHolderCountsNoMore)
{
    // Host b reports the entry, restarts, and is told by c, which has not heard of it, that nothing is new. Then c learns of it. Each of
    // a majority has reported, but b now vouches for a host that is cut off and serves under the old entry.
    Tracked entry({{"a", "b", "c"}, {}});
    entry.hold("b", 1);
    entry.hold("b", 2, 0, false, 2);
    entry.hold("c", 3);
    entry.hold("c", 4);
    entry.hold("b", 5, 0, true, 2);
    BOOST_TEST(!entry.isInForce(60));
    Tracked unheard({{"a", "b", "c"}, {}});
    unheard.hold("b", 1); // It restarts here, and nobody has noticed yet.
    unheard.hold("c", 3);
    BOOST_TEST(!unheard.isInForce(60));
    unheard.hold("b", 61);
    unheard.hold("c", 61);
    BOOST_TEST(unheard.isInForce(65));
}

BOOST_AUTO_TEST_CASE(anAnswerUnderwayProvesNoMoment)
{
    // A question to c goes out before the others report and its answer comes in after: that shows no time at which c surely held the
    // entry, and takes nothing from the others.
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
    Tracked entry({{"a", "b", "c"}, {}});
    entry.hold("a", 1);
    entry.hold("b", 1, 1, false);
    BOOST_TEST(!entry.isInForce(60));
}

BOOST_AUTO_TEST_CASE(aChangeOfHostsNeedsBothMajorities)
{
    Tracked entry({{"a", "b", "c", "d"}, {"a", "b", "c"}});
    for (const char *host : {"a", "d"}) {
        entry.hold(host, 1);
    }
    BOOST_TEST(!entry.isInForce(60));
    for (const char *host : {"a", "b", "d"}) {
        entry.hold(host, 61);
    }
    BOOST_TEST(entry.isInForce(65));
}

BOOST_AUTO_TEST_CASE(smallListsNeedAllTheirHosts)
{
    Tracked two({{"a", "b"}, {}});
    two.hold("a", 1);
    BOOST_TEST(!two.isInForce(60));
    Tracked one({{"a"}, {}});
    one.hold("a", 1);
    BOOST_TEST(one.isInForce(1));
    Tracked none({{}, {}});
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
