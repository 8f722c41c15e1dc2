#define BOOST_TEST_MODULE long_store_answers
#include <atomic>
#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "platform/kv_store.h"
#include "tests/stand_ins/stand_in_kv_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration timeout = 200ms;

/// A value that takes a thin link four times as long as a call may wait for its answer to begin.
struct Fixture
{
    Fixture()
    {
        const StoreReply written = standIn.memory().compareAndSwap("op/config", 0, value, 0);
        revision = written.entry.revision;
        standIn.setRate(value.size() * 4 / 3 * 5 / 4);
    }

    const std::string value = std::string(300'000, 'v');
    std::int64_t revision = 0;
    StandInKvStore standIn;
    KvStore store{{.address = {"127.0.0.1", standIn.port()}, .timeout = timeout}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LongStoreAnswers, Fixture)

// Guards against hosts on thin links that give a long read up while its bytes are coming, and begin it anew without end.
BOOST_AUTO_TEST_CASE(aReadThatGoesOnComingIsNotGivenUp)
{
    BOOST_TEST((store.get("op/config").entry.value == value));
    const StoreListReply list = store.list("op/");
    BOOST_REQUIRE(list.entries.size() == 1U);
    BOOST_TEST((list.entries.front().value == value));
    const StoreListReply watch = store.watch("op/", revision - 1, timeout);
    BOOST_REQUIRE(watch.entries.size() == 1U);
    BOOST_TEST((watch.entries.front().value == value));
    BOOST_TEST((store.confirm("op/config", revision - 1).entry.value == value));
    BOOST_TEST(standIn.calls() == 4);
}

// Guards against a duty that is held for as long as an endpoint likes: one that trickles is given up.
BOOST_AUTO_TEST_CASE(anAnswerThatTricklesIsGivenUp)
{
    standIn.setRate(1'000);
    const TimePoint before = BootClock::now();
    BOOST_TEST((store.get("op/config").status == StoreStatus::Unavailable));
    BOOST_TEST((BootClock::now() - before < 2s));
}

// Guards against a connection that falls silent within an answer and is waited for as long as the whole answer may take.
BOOST_AUTO_TEST_CASE(anAnswerThatStopsIsGivenUp)
{
    standIn.setFault(StandInKvStore::Fault::Stalled);
    const TimePoint before = BootClock::now();
    BOOST_TEST((store.get("op/config").status == StoreStatus::Unavailable));
    BOOST_TEST((BootClock::now() - before < 2s));
}

BOOST_AUTO_TEST_SUITE_END()
