#include <boost/test/unit_test.hpp>

#include "coordination/memory_store.h"
#include "gateway/weights_records.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};
constexpr std::string_view key = "p/weights/m/2";

struct Fixture
{
    MemoryStore store;
    WeightsRecords records{store, "p/weights/", 4s};

    bool isRecorded()
    {
        return store.get(key).status == StoreStatus::Ok;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WeightsRecordsTest, Fixture)

BOOST_AUTO_TEST_CASE(weightsAreRecordedWhileTheyAreRecent)
{
    records.record({"m", 2, start}, start + 3500ms);
    BOOST_TEST(!isRecorded());
    records.record({"m", 2, start}, start + 20ms);
    BOOST_TEST(isRecorded());
}

BOOST_AUTO_TEST_CASE(weightsFoundAtStartupAreNotRecorded)
{
    // A leader that has just started doesn't know how long ago the weights were published. If it recorded them as recent, a fleet that
    // restarts again would use older weights once more for as long as after the first restart.
    records.record({"m", 2, start, true}, start);
    BOOST_TEST(!isRecorded());
}

BOOST_AUTO_TEST_CASE(aRecordOfAnotherLeaderIsNotOverwritten)
{
    const std::int64_t revision = store.compareAndSwap(key, 0, "m/2", 0).entry.revision;
    records.record({"m", 2, start}, start);
    BOOST_TEST(store.get(key).entry.revision == revision);
}

BOOST_AUTO_TEST_SUITE_END()
