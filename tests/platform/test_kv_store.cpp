#include <thread>

#include <boost/test/unit_test.hpp>

#include "platform/kv_store.h"
#include "tests/stand_ins/stand_in_kv_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    StandInKvStore standIn;
    KvStore store{{.address = {"127.0.0.1", standIn.port()}, .timeout = 300ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(KvStoreTest, Fixture)

BOOST_AUTO_TEST_CASE(keysAreWrittenUnderTheirRevision)
{
    const std::string bytes("a\0\xff\"b", 5);
    const StoreReply created = store.compareAndSwap("x/a", 0, bytes, 0);
    BOOST_REQUIRE((created.status == StoreStatus::Ok));
    BOOST_TEST(store.get("x/a").entry.value == bytes);
    BOOST_TEST((store.compareAndSwap("x/a", 0, "other", 0).status == StoreStatus::Conflict));
    BOOST_TEST((store.compareAndSwap("x/a", created.entry.revision, "new", 0).status == StoreStatus::Ok));
    BOOST_TEST((store.get("x/none").status == StoreStatus::NotFound));
    BOOST_TEST(store.list("x/").entries.size() == 1U);
    BOOST_TEST((store.compareAndDelete("x/a", created.entry.revision).status == StoreStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(aConfirmationTellsWhetherAKeyIsStillTheSame)
{
    const std::int64_t revision = store.compareAndSwap("x/a", 0, "1", 0).entry.revision;
    BOOST_TEST((store.confirm("x/a", revision).status == StoreStatus::Ok));
    store.compareAndSwap("x/a", revision, "2", 0);
    const StoreReply changed = store.confirm("x/a", revision);
    BOOST_TEST((changed.status == StoreStatus::Conflict));
    BOOST_TEST(changed.entry.value == "2");
}

BOOST_AUTO_TEST_CASE(aWatchHearsOfWritesAndDeletions)
{
    const std::int64_t revision = store.compareAndSwap("x/a", 0, "1", 0).entry.revision;
    const StoreListReply none = store.watch("x/", revision, 50ms);
    BOOST_TEST((none.status == StoreStatus::Ok));
    BOOST_TEST(none.entries.empty());
    store.compareAndDelete("x/a", revision);
    const StoreListReply one = store.watch("x/", revision, 1s);
    BOOST_REQUIRE(one.entries.size() == 1U);
    BOOST_TEST(one.entries[0].isDeleted);
}

BOOST_AUTO_TEST_CASE(leasesEndTheirKeys)
{
    const StoreLeaseReply lease = store.grantLease(10s);
    BOOST_REQUIRE((lease.status == StoreStatus::Ok));
    store.compareAndSwap("x/a", 0, "1", lease.leaseId);
    BOOST_TEST((store.keepAlive(lease.leaseId).status == StoreStatus::Ok));
    BOOST_TEST((store.revokeLease(lease.leaseId).status == StoreStatus::Ok));
    BOOST_TEST((store.get("x/a").status == StoreStatus::NotFound));
    BOOST_TEST((store.keepAlive(lease.leaseId).status == StoreStatus::NotFound));
    BOOST_TEST((store.compareAndSwap("x/a", 0, "2", lease.leaseId).status == StoreStatus::NotFound));
    BOOST_TEST((store.get("x/a").status == StoreStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsNotTakenForAFailure)
{
    // The store writes and its answer is lost. A host that took that for "nothing done" would write again under the old revision,
    // fail for ever, and its fleet would count one host too few.
    standIn.setFault(StandInKvStore::Fault::LostAnswer);
    BOOST_TEST((store.compareAndSwap("x/a", 0, "1", 0).status == StoreStatus::AnswerLost));
    standIn.setFault(StandInKvStore::Fault::None);
    BOOST_TEST(store.get("x/a").entry.value == "1");
}

BOOST_AUTO_TEST_CASE(aRefusalSaysThatNothingWasDone)
{
    standIn.setFault(StandInKvStore::Fault::Busy);
    BOOST_TEST((store.compareAndSwap("x/a", 0, "1", 0).status == StoreStatus::Unavailable));
    BOOST_TEST((store.get("x/a").status == StoreStatus::Unavailable));
    BOOST_TEST((store.confirm("x/a", 1).status == StoreStatus::Unavailable));
    BOOST_TEST((store.grantLease(1s).status == StoreStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(aSilentStoreCostsNoMoreThanTheTimeout)
{
    // Packets to the store vanish without a reset. A duty that waited for them would never notice that it is cut off.
    standIn.setFault(StandInKvStore::Fault::Silent);
    const TimePoint before = BootClock::now();
    BOOST_TEST((store.get("x/a").status == StoreStatus::Unavailable));
    BOOST_TEST((store.watch("x/", 1, 100ms).status == StoreStatus::Unavailable));
    BOOST_TEST((BootClock::now() - before < 3s));
}

BOOST_AUTO_TEST_CASE(anIdleConnectionThatTheStoreClosedIsReplaced)
{
    BOOST_TEST((store.get("x/a").status == StoreStatus::NotFound));
    standIn.setFault(StandInKvStore::Fault::LostAnswer);
    store.get("x/a");
    standIn.setFault(StandInKvStore::Fault::None);
    BOOST_TEST((store.get("x/a").status == StoreStatus::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()
