#include <boost/test/unit_test.hpp>

#include "partitioning/engine_partition.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr std::size_t engineCount = 90;

/// Adds so many engine-seconds per second of each class, and updates the partition ten times a second.
TimePoint play(EnginePartition &partition, double shortWork, double longWork, TimePoint now, Duration time)
{
    constexpr Duration step = 10ms;
    for (const TimePoint end = now + time; now < end; now += step) {
        partition.addWork(PromptClass::Short, shortWork * toSeconds(step), now);
        partition.addWork(PromptClass::Long, longWork * toSeconds(step), now);
        partition.update(engineCount, now);
    }
    return now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EnginePartitionTest)

// Load: 750 short and 80 long prompts a second at 90 engines, a fifth of their time. Guards against engines that are kept from work while there is room.
BOOST_AUTO_TEST_CASE(enginesServeAllInCalm)
{
    EnginePartition partition;
    play(partition, 8, 8, start, 10s);
    BOOST_TEST(!partition.isDivided());
    BOOST_TEST((partition.serves(0.01, PromptClass::Long) && partition.serves(0.99, PromptClass::Short)));
}

// Load: long prompts ask for three times the engines' time. Guards against short responses that are held up beside long prompts.
BOOST_AUTO_TEST_CASE(shortWorkKeepsItsEnginesWhenLongPromptsAskForAll)
{
    EnginePartition partition;
    const TimePoint now = play(partition, 15, 20, start, 5s);
    play(partition, 15, 270, now, 1s);
    BOOST_TEST(partition.isDivided());
    BOOST_TEST(partition.boundary() * engineCount >= 15);
    BOOST_TEST(partition.boundary() < 0.5);
    BOOST_TEST(!partition.serves(0.01, PromptClass::Long));
    BOOST_TEST(!partition.serves(0.99, PromptClass::Short));
}

// Load: demand around the point of division. Guards against engines that change sides several times a second, whose caches serve neither class.
BOOST_AUTO_TEST_CASE(demandNearTheLimitDoesNotSwitchBackAndForth)
{
    EnginePartition partition;
    TimePoint now = play(partition, 12, 26, start, 5s);
    int changes = 0;
    bool wasDivided = partition.isDivided();
    for (int second = 0; second < 20; ++second) {
        now = play(partition, 12, second % 2 == 0 ? 20 : 30, now, 500ms);
        changes += partition.isDivided() != wasDivided ? 1 : 0;
        wasDivided = partition.isDivided();
    }
    BOOST_TEST(changes <= 1);
    play(partition, 2, 2, now, 10s);
    BOOST_TEST(!partition.isDivided());
}

BOOST_AUTO_TEST_SUITE_END()
