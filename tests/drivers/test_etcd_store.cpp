#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "drivers/etcd_store.h"
#include "tests/stand_ins/stand_in_store.h"

using namespace Lovageloft;
using namespace Lovageloft::StandIns;
using namespace std::chrono_literals;

namespace
{

constexpr Duration shortTimeout = 150ms; // Of calls that are meant to fail.
constexpr Duration ample = 20s; // Never reached unless a test fails.

EtcdStoreOptions optionsFor(const std::vector<std::string> &addresses)
{
    EtcdStoreOptions options;
    for (const std::string &address : addresses) {
        options.endpoints.push_back(parseHostAddress(address).value());
    }
    options.callTimeout = ample;
    return options;
}

/// Takes calls that fail by a timeout, and so gives up early.
EtcdStoreOptions impatientOptionsFor(const StandInStore &standIn)
{
    EtcdStoreOptions options = optionsFor({standIn.server().address()});
    options.callTimeout = shortTimeout;
    return options;
}

struct Fixture
{
    StandInStore standIn;
    EtcdStore store{optionsFor({standIn.server().address()})};
};

bool hasStatus(const auto &reply, StoreStatus status)
{
    return reply.status == status;
}

/// Waits on a watch that is going to fail until it does.
StoreStatus watchUntilFailure(EtcdStore &store, std::int64_t revision)
{
    const TimePoint deadline = BootClock::now() + ample;
    StoreStatus status = StoreStatus::Ok;
    while (status == StoreStatus::Ok && BootClock::now() < deadline) {
        status = store.watch("a/", revision, 10ms).status;
    }
    return status;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EtcdStoreTest, Fixture)

BOOST_AUTO_TEST_CASE(swapsOnlyFromTheExpectedRevision)
{
    const std::string value("v\0\xff", 3);
    const StoreReply created = store.compareAndSwap("a/1", 0, value, 0);
    BOOST_TEST(hasStatus(created, StoreStatus::Ok));
    const StoreReply again = store.compareAndSwap("a/1", 0, "other", 0);
    BOOST_TEST(hasStatus(again, StoreStatus::Conflict));
    BOOST_TEST(again.entry.value == value);
    BOOST_TEST(again.entry.revision == created.entry.revision);
    const StoreReply changed = store.compareAndSwap("a/1", created.entry.revision, "new", 0);
    BOOST_TEST(hasStatus(changed, StoreStatus::Ok));
    BOOST_TEST(store.get("a/1").entry.value == "new");
    BOOST_TEST(hasStatus(store.compareAndDelete("a/1", created.entry.revision), StoreStatus::Conflict));
    BOOST_TEST(hasStatus(store.compareAndDelete("a/1", changed.entry.revision), StoreStatus::Ok));
    BOOST_TEST(hasStatus(store.compareAndDelete("a/1", changed.entry.revision), StoreStatus::NotFound));
    BOOST_TEST(hasStatus(store.get("a/1"), StoreStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(listsExactlyThePrefixInOrder)
{
    for (const char *key : {"a/2", "a/1", "b/1", "a"}) {
        BOOST_TEST(hasStatus(store.compareAndSwap(key, 0, key, 0), StoreStatus::Ok));
    }
    const StoreListReply reply = store.list("a/");
    BOOST_TEST(hasStatus(reply, StoreStatus::Ok));
    BOOST_REQUIRE(reply.entries.size() == 2);
    BOOST_TEST(reply.entries[0].key == "a/1");
    BOOST_TEST(reply.entries[1].value == "a/2");
    BOOST_TEST(reply.revision == 4);
    BOOST_TEST(store.list("").entries.size() == 4);
}

BOOST_AUTO_TEST_CASE(writeWhoseAnswerIsLostIsToldAndNotSentAgain)
{
    // The store performs a write, and its connection breaks before the answer is out. Were the write sent again by the
    // driver, it would meet its own effect and report a conflict: an operator would read that another ticket
    // had won, while the one handed in is in force.
    standIn.setFault({.lostAnswers = 1});
    BOOST_TEST(hasStatus(store.compareAndSwap("a/1", 0, "mine", 0), StoreStatus::AnswerLost));
    BOOST_TEST(standIn.callCount("txn") == 1);
    BOOST_TEST(store.get("a/1").entry.value == "mine");
}

BOOST_AUTO_TEST_CASE(refusedWriteHasSurelyNotTakenEffect)
{
    // The store has lost its leader and refuses. A caller that heard "answer lost" would have to hold back a
    // correction that could safely be sent again.
    standIn.setFault({.isDown = true});
    BOOST_TEST(hasStatus(store.compareAndSwap("a/1", 0, "v", 0), StoreStatus::Unavailable));
    BOOST_TEST(hasStatus(store.get("a/1"), StoreStatus::Unavailable));
    BOOST_TEST(hasStatus(store.grantLease(1s), StoreStatus::Unavailable));
    standIn.setFault({});
    BOOST_TEST(hasStatus(store.get("a/1"), StoreStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(nextEndpointServesWhenOneRefusesOrIsGone)
{
    // One member of the store is stopped and another has no leader. Users notice nothing as long as a third answers.
    std::string goneAddress;
    {
        const StandInStore gone;
        goneAddress = gone.server().address();
    }
    StandInStore refusing;
    refusing.setFault({.isDown = true});
    EtcdStore threefold(optionsFor({goneAddress, refusing.server().address(), standIn.server().address()}));
    BOOST_TEST(hasStatus(threefold.compareAndSwap("a/1", 0, "v", 0), StoreStatus::Ok));
    BOOST_TEST(hasStatus(threefold.get("a/1"), StoreStatus::Ok));
    BOOST_TEST(refusing.callCount("txn") == 1);
    BOOST_TEST(refusing.callCount("range") == 0); // The endpoint that answered is preferred from then on.
}

BOOST_AUTO_TEST_CASE(lateAnswerIsNeverTakenForTheNextOne)
{
    // The store is slower than the timeout, and its answer to an abandoned call arrives later. On a connection that
    // is used again it would be read as the answer to the next call: a host would take one key's value for another's.
    BOOST_TEST(hasStatus(store.compareAndSwap("a/1", 0, "one", 0), StoreStatus::Ok));
    EtcdStore impatient(impatientOptionsFor(standIn));
    BOOST_TEST(hasStatus(impatient.get("a/2"), StoreStatus::NotFound));
    standIn.setFault({.delay = ample});
    BOOST_TEST(hasStatus(impatient.get("a/1"), StoreStatus::Unavailable));
    BOOST_TEST(hasStatus(impatient.compareAndSwap("a/2", 0, "two", 0), StoreStatus::AnswerLost));
    standIn.setFault({});
    const StoreListReply late = store.watch("a/2", 1, ample); // The write takes effect after it was given up.
    BOOST_REQUIRE(late.entries.size() == 1);
    BOOST_TEST(late.entries.front().value == "two");
    BOOST_TEST(impatient.get("a/1").entry.value == "one");
    BOOST_TEST(impatient.get("a/2").entry.value == "two");
}

BOOST_AUTO_TEST_CASE(trickledAnswerEndsAtTheTimeoutOfTheCall)
{
    // The store is so overloaded that its answer comes byte by byte. A timeout that starts anew with each byte would
    // hold the caller of the store for as long as that takes, and its requests with it.
    EtcdStore impatient(impatientOptionsFor(standIn));
    standIn.setFault({.trickle = 50ms});
    BOOST_TEST(hasStatus(impatient.get("a/1"), StoreStatus::Unavailable));
    BOOST_TEST(hasStatus(impatient.compareAndSwap("a/1", 0, "v", 0), StoreStatus::AnswerLost));
}

// Guards against hosts on thin links that give a long read up while its bytes are coming, and begin it anew without end.
BOOST_AUTO_TEST_CASE(longAnswerThatGoesOnComingIsNotGivenUp)
{
    const std::string value(150'000, 'v');
    BOOST_REQUIRE(hasStatus(store.compareAndSwap("a/1", 0, value, 0), StoreStatus::Ok));
    EtcdStore impatient(impatientOptionsFor(standIn));
    standIn.setFault({.trickle = 20ms, .trickleBytes = 10'000});
    BOOST_TEST((impatient.get("a/1").entry.value == value));
    const StoreListReply list = impatient.list("a/");
    BOOST_REQUIRE(list.entries.size() == 1U);
    BOOST_TEST((list.entries.front().value == value));
}

BOOST_AUTO_TEST_CASE(connectionClosedByTheStoreIsNotUsedAgain)
{
    // The store is restarted and has closed the idle connections. A write sent on one of them would be reported as one
    // that may have taken effect, and a correction be held back although it never left.
    auto restarted = std::make_unique<StandInStore>();
    HttpConnectionPool pool({parseHostAddress(restarted->server().address()).value()}, ample);
    std::unique_ptr<HttpConnection> connection = pool.take(0, ample);
    BOOST_REQUIRE(connection->call("/v3/kv/range", R"({"key":"YQ=="})", BootClock::now() + ample).has_value());
    pool.giveBack(0, std::move(connection));
    restarted.reset();
    BOOST_TEST(!pool.take(0, ample)); // A new one can't be had while the store is down.
}

BOOST_AUTO_TEST_CASE(silentConnectionsCostOneTimeoutInAll)
{
    // A firewall between host and store restarts and forgets the open connections, while new ones work. If each idle
    // connection were found out by a timeout of its own, calls would fail for as many seconds as there are connections.
    HttpConnectionPool pool({parseHostAddress(standIn.server().address()).value()}, ample);
    std::vector<std::unique_ptr<HttpConnection>> connections;
    for (int i = 0; i < 3; ++i) {
        connections.push_back(pool.take(0, ample));
        BOOST_REQUIRE(connections.back()->call("/v3/kv/range", R"({"key":"YQ=="})", BootClock::now() + ample).has_value());
    }
    for (std::unique_ptr<HttpConnection> &connection : connections) {
        pool.giveBack(0, std::move(connection));
    }
    standIn.silenceOpenConnections();
    BOOST_TEST(!pool.take(0, ample)->call("/v3/kv/range", R"({"key":"YQ=="})", BootClock::now() + shortTimeout).has_value());
    pool.reportFailure(0);
    BOOST_TEST(pool.take(0, ample)->call("/v3/kv/range", R"({"key":"YQ=="})", BootClock::now() + ample).has_value());
}

BOOST_AUTO_TEST_CASE(callAfterASilentConnectionWorks)
{
    // The same restart of a firewall, seen by a caller of the store: one call fails, truthfully, and the next works.
    EtcdStore impatient(impatientOptionsFor(standIn));
    BOOST_TEST(hasStatus(impatient.get("a/1"), StoreStatus::NotFound));
    standIn.silenceOpenConnections();
    BOOST_TEST(hasStatus(impatient.compareAndSwap("a/1", 0, "v", 0), StoreStatus::AnswerLost));
    BOOST_TEST(hasStatus(impatient.compareAndSwap("a/1", 0, "v", 0), StoreStatus::Ok));
}

BOOST_AUTO_TEST_CASE(connectionIdleForTooLongIsNotUsed)
{
    // A connection nobody used for a while is the likeliest to have gone silent. With a limit of no time at all each
    // call opens a new one, and a silent one is never met.
    EtcdStoreOptions options = impatientOptionsFor(standIn);
    options.idleLimit = Duration::zero();
    EtcdStore cautious(options);
    BOOST_TEST(hasStatus(cautious.get("a/1"), StoreStatus::NotFound));
    standIn.silenceOpenConnections();
    BOOST_TEST(hasStatus(cautious.compareAndSwap("a/1", 0, "v", 0), StoreStatus::Ok));
}

BOOST_AUTO_TEST_CASE(watchStaysOpenFromCallToCall)
{
    std::int64_t revision = 0;
    for (const char *key : {"a/1", "a/2", "a/3"}) {
        BOOST_TEST(hasStatus(store.compareAndSwap("b/other", revision == 0 ? 0 : revision - 1, key, 0), StoreStatus::Ok));
        BOOST_TEST(hasStatus(store.compareAndSwap(key, 0, "v", 0), StoreStatus::Ok));
        const StoreListReply reply = store.watch("a/", revision, ample);
        BOOST_REQUIRE(reply.entries.size() == 1);
        BOOST_TEST(reply.entries.front().key == key);
        BOOST_TEST(store.watch("a/", reply.revision, 1ms).entries.empty());
        revision = reply.revision;
    }
    BOOST_TEST(standIn.callCount("watch") == 1);
}

BOOST_AUTO_TEST_CASE(watchGoesOnWhereABrokenStreamEnded)
{
    // The store ends a watch in an outage, and operators withdraw keys before it is back in reach. Writes from the time
    // between must still come, or the withdrawn key would go on working at this host.
    BOOST_TEST(hasStatus(store.compareAndSwap("a/1", 0, "v", 0), StoreStatus::Ok));
    const std::int64_t revision = store.watch("a/", 0, ample).revision;
    standIn.setFault({.isDown = true});
    BOOST_TEST((watchUntilFailure(store, revision) == StoreStatus::Unavailable));
    standIn.setFault({});
    EtcdStore other(optionsFor({standIn.server().address()}));
    BOOST_TEST(hasStatus(other.compareAndSwap("a/2", 0, "v", 0), StoreStatus::Ok));
    BOOST_TEST(hasStatus(other.compareAndDelete("a/1", revision), StoreStatus::Ok));
    const StoreListReply first = store.watch("a/", revision, ample);
    BOOST_REQUIRE(!first.entries.empty());
    BOOST_TEST(first.entries.front().key == "a/2");
    const StoreListReply second = first.entries.size() > 1 ? first : store.watch("a/", first.revision, ample);
    BOOST_TEST(second.entries.back().key == "a/1");
    BOOST_TEST(second.entries.back().isDeleted);
}

BOOST_AUTO_TEST_CASE(silentWatchIsStartedAnew)
{
    // The connection of a waiting watch goes silent for good. It looks like a quiet watch, and without a fresh start
    // a withdrawn key would work at this host until the process ends.
    EtcdStoreOptions options = optionsFor({standIn.server().address()});
    options.watchSilenceLimit = 100ms;
    EtcdStore watcher(options);
    BOOST_TEST(hasStatus(watcher.watch("a/", 0, 1ms), StoreStatus::Ok));
    standIn.silenceOpenConnections();
    EtcdStore other(optionsFor({standIn.server().address()}));
    BOOST_TEST(hasStatus(other.compareAndSwap("a/1", 0, "v", 0), StoreStatus::Ok));
    BOOST_TEST(watcher.watch("a/", 0, ample).entries.size() == 1);
}

BOOST_AUTO_TEST_CASE(forgottenWritesAreToldToAWatch)
{
    // A host comes back from a long pause, and the store has compacted the writes since. A watch that simply went on
    // would leave out changes of the configuration; the host has to list the keys again.
    StandInStore forgetful(0, 2);
    EtcdStore paused(optionsFor({forgetful.server().address()}));
    for (const char *key : {"a/1", "a/2", "a/3", "a/4"}) {
        BOOST_TEST(hasStatus(paused.compareAndSwap(key, 0, "v", 0), StoreStatus::Ok));
    }
    const StoreListReply told = paused.watch("a/", 0, ample);
    BOOST_TEST(hasStatus(told, StoreStatus::NotFound));
    BOOST_TEST(paused.watch("a/", told.revision, ample).entries.size() == 2);
    const StoreListReply listed = paused.list("a/");
    BOOST_TEST(listed.entries.size() == 4);
    BOOST_TEST(hasStatus(paused.watch("a/", listed.revision, 1ms), StoreStatus::Ok));
}

BOOST_AUTO_TEST_CASE(lapsedLeaseTakesItsKeysAndCannotBeKept)
{
    // A host is paused for longer than its lease. When it wakes it must learn that the lease is gone, or it would act
    // on a claim that another host holds by now.
    const StoreLeaseReply lease = store.grantLease(1s);
    BOOST_TEST(hasStatus(lease, StoreStatus::Ok));
    BOOST_TEST((lease.timeToLive == 1s));
    const StoreReply held = store.compareAndSwap("a/claim", 0, "v", lease.leaseId);
    BOOST_TEST(hasStatus(held, StoreStatus::Ok));
    BOOST_TEST(hasStatus(store.keepAlive(lease.leaseId), StoreStatus::Ok));
    const StoreListReply lapse = store.watch("a/", held.entry.revision, ample);
    BOOST_REQUIRE(lapse.entries.size() == 1);
    BOOST_TEST(lapse.entries.front().isDeleted);
    BOOST_TEST(hasStatus(store.keepAlive(lease.leaseId), StoreStatus::NotFound));
    BOOST_TEST(hasStatus(store.revokeLease(lease.leaseId), StoreStatus::NotFound));
    BOOST_TEST(hasStatus(store.compareAndSwap("a/claim", 0, "v", lease.leaseId), StoreStatus::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()
