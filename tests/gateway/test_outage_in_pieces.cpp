#define BOOST_TEST_MODULE outage_in_pieces
#include <boost/test/unit_test.hpp>

#include "gateway/relayed_store.h"
#include "tests/coordination/faulty_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

// Guards against targets that are dropped after an outage in which their entries lapsed, as a call that fails late hides how long it was.
BOOST_AUTO_TEST_CASE(aCallThatFailsAfterAnOutageDoesNotHideIt)
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
    relay.confirm("x/seed", seed); // Another duty is answered first.
    now += 100ms;
    setDown(true);
    relay.confirm("x/seed", seed); // One that was sent during the outage is given up now.
    setDown(false);
    now += 100ms;
    relay.confirm("x/seed", seed);
    BOOST_TEST((relay.list("x/").outage >= Duration(5s)));
}
