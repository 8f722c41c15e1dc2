#define BOOST_TEST_MODULE outage_in_pieces
#include <utility>

#include <boost/test/unit_test.hpp>

#include "gateway/relayed_store.h"
#include "tests/coordination/faulty_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// A host alone with a store that can be down.
struct OutageFixture
{
    OutageFixture()
    {
        setDown(false);
        relay.setHosts({"a"}, {"a"});
    }

    void setDown(bool isDown)
    {
        store.setFaults([isDown] { return isDown ? FaultyStore::Fault::Down : FaultyStore::Fault::None; });
    }

    FaultyStore store;
    TimePoint now{1h};
    Duration hangTime{}; ///< Passes after each reading of the clock, of which the first in a call is its start.
    RelayedStore relay{store, "a", [this] { return std::exchange(now, now + hangTime); }};
};

} // namespace

// Guards against dropping targets whose leases expired during an outage, because a call that fails late hides the length of the outage.
BOOST_FIXTURE_TEST_CASE(aCallThatFailsAfterAnOutageDoesNotHideTheOutage, OutageFixture)
{
    const std::int64_t seed = store.compareAndSwap("x/seed", 0, "0", 0).entry.revision;
    relay.list("x/");
    setDown(true);
    relay.list("x/");
    now += 5s;
    setDown(false);
    relay.confirm("x/seed", seed); // The first call to be answered is that of another duty.
    now += 100ms;
    setDown(true);
    relay.confirm("x/seed", seed); // A call that was sent during the outage times out now.
    setDown(false);
    now += 100ms;
    relay.confirm("x/seed", seed);
    BOOST_TEST((relay.list("x/").outage >= Duration(5s)));
}

// Guards against targets that have left and are kept as lapsed, because the store turned this host away while it served the others.
BOOST_FIXTURE_TEST_CASE(aStoreThatTurnsOnlyThisHostAwayHasNoOutage, OutageFixture)
{
    const std::vector<std::string> hosts{"a", "b", "c"};
    for (const std::string &name : hosts) {
        RelayedStore host(store, name, [this] { return now; });
        host.setHosts(hosts, hosts);
        if (host.isRelay()) {
            continue;
        }
        const std::int64_t seed = store.compareAndSwap("x/seed", 0, "0", 0).entry.revision;
        const std::int64_t synced = host.list("x/").revision;
        const auto passAway = [&](bool areRelaysServed) {
            setDown(true);
            for (const TimePoint end = now + 4s; now < end; now += 500ms) {
                host.confirm("x/seed", seed);
                if (areRelaysServed) {
                    host.onNotice({"x/", synced, synced, {}, {}, {}});
                }
            }
            setDown(false);
            now += 100ms;
            host.confirm("x/seed", seed);
            now += 1'400ms;
            return host.list("x/").outage;
        };
        BOOST_TEST((passAway(true) < Duration(2s)));
        BOOST_TEST((passAway(false) >= Duration(4s)));
    }
}

// Guards against targets that are used for too long after they left, because a host whose calls hang notices late that the store is back.
BOOST_FIXTURE_TEST_CASE(theReturnOfAStoreIsDatedToTheCallsBeforeIt, OutageFixture)
{
    std::vector<ChangesNotice> broadcasts;
    relay.setNetwork({[&](const ChangesNotice &notice) { broadcasts.push_back(notice); }, {}});
    store.compareAndSwap("x/seed", 0, "0", 0);
    relay.list("x/");
    BOOST_TEST((relay.list("x/").returnAge == Duration::zero()));
    setDown(true);
    now += 5s;
    hangTime = 800ms;
    const TimePoint lastCallAt = now;
    relay.list("x/");
    hangTime = {};
    setDown(false);
    now = lastCallAt + 1'200ms;
    const StoreListReply reply = relay.list("x/");
    BOOST_TEST((reply.outage >= Duration(5s)));
    BOOST_TEST((reply.returnAge == Duration(600ms)));
    BOOST_REQUIRE(!broadcasts.empty());
    BOOST_TEST((broadcasts.back().returnAge == Duration(600ms)));
}

// Guards against healthy targets that are dropped before they can write their entries again, because a call hung through the store's return.
BOOST_FIXTURE_TEST_CASE(aCallThatHungForLongDoesNotDateTheReturnOfAStore, OutageFixture)
{
    store.compareAndSwap("x/seed", 0, "0", 0);
    relay.list("x/");
    setDown(true);
    now += 5s;
    relay.list("x/");
    setDown(false);
    now += 3'500ms;
    BOOST_TEST((relay.list("x/").returnAge == Duration::zero()));
}

// Guards against grace periods that begin anew with each duty that notices the store's return.
BOOST_FIXTURE_TEST_CASE(theReturnOfAStoreIsDatedToTheFirstCallThatItAnswers, OutageFixture)
{
    const std::int64_t seed = store.compareAndSwap("x/seed", 0, "0", 0).entry.revision;
    relay.list("x/");
    setDown(true);
    now += 5s;
    relay.list("x/");
    setDown(false);
    now += 100ms;
    relay.confirm("x/seed", seed);
    now += 700ms;
    BOOST_TEST((relay.list("x/").returnAge == Duration(700ms)));
}
