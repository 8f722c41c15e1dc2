#define BOOST_TEST_MODULE outage_in_pieces
#include <atomic>

#include <boost/test/unit_test.hpp>

#include "coordination/forwarding_store.h"
#include "coordination/memory_store.h"
#include "gateway/relayed_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// A store in memory that can be out of reach.
class MutedStore final : public ForwardingStore
{
public:
    MutedStore()
        : ForwardingStore(memory)
    {
    }

    StoreReply confirm(std::string_view key, std::int64_t revision) override
    {
        return isDown ? StoreReply{} : memory.confirm(key, revision);
    }

    StoreListReply list(std::string_view prefix) override
    {
        return isDown ? StoreListReply{} : memory.list(prefix);
    }

    MemoryStore memory;
    std::atomic<bool> isDown = false;
};

} // namespace

// Guards against targets that are dropped after an outage in which their entries lapsed, as a call that fails late hides how long it was.
BOOST_AUTO_TEST_CASE(aCallThatFailsAfterAnOutageDoesNotHideIt)
{
    MutedStore store;
    TimePoint now{1h};
    RelayedStore relay(store, "a", [&now] { return now; });
    relay.setHosts({"a"}, {"a"});
    const std::int64_t seed = store.memory.compareAndSwap("x/seed", 0, "0", 0).entry.revision;
    relay.list("x/");
    store.isDown = true;
    relay.list("x/");
    now += 5s;
    store.isDown = false;
    relay.confirm("x/seed", seed); // Another duty is answered first.
    now += 100ms;
    store.isDown = true;
    relay.confirm("x/seed", seed); // One that was sent during the outage is given up now.
    store.isDown = false;
    now += 100ms;
    relay.confirm("x/seed", seed);
    BOOST_TEST((relay.list("x/").away >= Duration(5s)));
}
