#define BOOST_TEST_MODULE outage_in_pieces
#include <boost/test/unit_test.hpp>

#include "gateway/relayed_store.h"
#include "tests/coordination/faulty_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

// Guards against dropping targets whose leases expired during an outage, because a call that fails late hides the length of the outage.
BOOST_AUTO_TEST_CASE(aCallThatFailsAfterAnOutageDoesNotHideTheOutage)
{
    FaultyStore store;
    const auto setDown = [&store](bool isDown) { store.setFaults([isDown] { return isDown ? FaultyStore::Fault::Down : FaultyStore::Fault::None; }); };
    setDown(false);
    TimePoint now{1h};
    RelayedStore relay(store, "a", [&now] { return now; });
    relay.setHosts({"a"}, {"a"});
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
