#define BOOST_TEST_MODULE store_era
#include <boost/test/unit_test.hpp>

#include "coordination/lease_holder.h"
#include "coordination/store_position.h"
#include "platform/kv_store.h"
#include "tests/stand_ins/stand_in_kv_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    /// Writes a key and takes the store back to before that, so that its revision is given to another value.
    std::int64_t writeAndRestore()
    {
        store.compareAndSwap("x/old", 0, "old", 0);
        const auto snapshot = standIn.memory().snapshot();
        const std::int64_t lost = store.compareAndSwap("x/a", 0, "lost", 0).entry.revision;
        standIn.memory().restore(*snapshot);
        standIn.memory().compareAndSwap("x/a", 0, "other", 0);
        return lost;
    }

    StandInKvStore standIn;
    KvStore store{{.address = {"127.0.0.1", standIn.port()}, .timeout = 300ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreEra, Fixture)

BOOST_AUTO_TEST_CASE(revisionsGoOnRisingWhenTheStoreComesBackFromAnOlderCopy)
{
    const std::int64_t lost = writeAndRestore();
    while (store.list("x/").status != StoreStatus::Ok) {
    }
    BOOST_TEST(store.era() == 2);
    const StoreReply other = store.get("x/a");
    BOOST_TEST(other.entry.value == "other");
    BOOST_TEST(revisionOf(other.entry.revision) == revisionOf(lost));
    BOOST_TEST(other.entry.revision > lost);
    BOOST_TEST(store.list("x/").revision > lost);
}

// Guards against a proof of freshness for a value that was never read.
BOOST_AUTO_TEST_CASE(aRevisionThatWasGivenOutAgainProvesNothing)
{
    const std::int64_t lost = writeAndRestore();
    store.get("x/old"); // Tells of the new era.
    const StoreReply reply = store.confirm("x/a", lost);
    BOOST_TEST((reply.status == StoreStatus::Conflict));
    BOOST_TEST(reply.entry.value == "other");
    BOOST_TEST((store.confirm("x/a", reply.entry.revision).status == StoreStatus::Ok));
}

// Guards against a write that overwrites another's, as the revision that it expects was given out again.
BOOST_AUTO_TEST_CASE(aConditionOfAnEarlierEraIsNotSentAndOneOnItsWayIsInDoubt)
{
    const std::int64_t lost = writeAndRestore();
    const StoreReply onItsWay = store.compareAndSwap("x/old", lost - 1, "new", 0);
    BOOST_TEST((onItsWay.status == StoreStatus::AnswerLost));
    const int calls = standIn.calls();
    BOOST_TEST((store.compareAndSwap("x/a", lost, "mine", 0).status == StoreStatus::Conflict));
    BOOST_TEST((store.compareAndDelete("x/a", lost).status == StoreStatus::Conflict));
    BOOST_TEST((store.watch("x/", lost, 1ms).status == StoreStatus::NotFound));
    BOOST_TEST(standIn.calls() == calls);
    BOOST_TEST(store.get("x/a").entry.value == "other");
}

// Guards against changes that are missed by a watch which the store goes on answering, as its revisions have come that far again.
BOOST_AUTO_TEST_CASE(aWatchOfAnEarlierEraIsOver)
{
    const std::int64_t lost = writeAndRestore();
    standIn.memory().compareAndSwap("x/b", 0, "b", 0);
    BOOST_TEST((store.watch("x/", lost, 50ms).status != StoreStatus::Ok));
    BOOST_TEST((store.watch("x/", lost, 50ms).status == StoreStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(anEraThatIsMissingOrNoNumberOrGoesBackIsNotBelieved)
{
    const std::int64_t revision = store.compareAndSwap("x/a", 0, "1", 0).entry.revision;
    for (const std::string text : {"", "two", "0", "-3", "99999999999999999999"}) {
        standIn.setEraText(text);
        BOOST_TEST(store.get("x/a").entry.revision == revision, text);
        BOOST_TEST((store.confirm("x/a", revision).status == StoreStatus::Ok), text);
    }
    BOOST_TEST(store.era() == 1);
}

// Guards against two hosts that order engines, or fencing tokens that go back, after the store has lost the leader's key.
BOOST_AUTO_TEST_CASE(aLeaderOfAnEarlierEraIsNoneAndItsSuccessorWaitsForItsLease)
{
    LeaseOptions options;
    options.timeToLive = 3s;
    options.margin = 300ms;
    options.settleTime = 300ms;
    TimePoint now{1h};
    const auto snapshot = standIn.memory().snapshot();
    LeaseHolder first(store, "x/leader", "first", options);
    KvStore otherStore{{.address = {"127.0.0.1", standIn.port()}, .timeout = 300ms}};
    LeaseHolder second(otherStore, "x/leader", "second", options);
    const auto run = [&now](LeaseHolder &holder) {
        for (int i = 0; i < 100 && !holder.isHeld(now); ++i) {
            now += 100ms;
            holder.step(now);
        }
    };
    second.step(now);
    run(first);
    BOOST_REQUIRE(first.isHeld(now));
    second.step(now);
    const std::int64_t token = first.token();
    standIn.memory().restore(*snapshot);
    store.get("x/any"); // Any answer tells.
    BOOST_TEST(!first.isHeld(now));
    otherStore.get("x/any");
    second.step(now);
    second.pollNow(now);
    run(second);
    BOOST_REQUIRE(second.isHeld(now));
    BOOST_TEST(second.token() > token);
    BOOST_TEST((second.settledAt() >= now + 2s));
}

BOOST_AUTO_TEST_SUITE_END()
