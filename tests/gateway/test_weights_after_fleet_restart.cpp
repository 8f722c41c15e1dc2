#define BOOST_TEST_MODULE weights_after_fleet_restart
#include <boost/test/unit_test.hpp>

#include "gateway/target_directory.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(noRequestUsesOlderWeightsAfterTheDeadlineWhenTheWholeFleetRestarted)
{
    // All hosts lose power 6.5 s after new weights were published, while an engine still waits for its update. No host knows the publication
    // time any more, and the store provides no timestamps. If the weights were assumed to be half a deadline old, callers would get results
    // of outdated weights until more than nine seconds after the publication, where operators allow eight. The key that the leader wrote for
    // half a deadline has expired by then, which shows that the weights are older.
    constexpr TimePoint publishedTime{1h};
    constexpr Duration deadline = 8s;
    const TimePoint startedAt = publishedTime + 6'500ms;
    TargetDirectory directory(deadline);
    auto targets = std::make_shared<TargetMap>();
    Target engine;
    engine.id = "e1";
    engine.service = "s";
    engine.slots = 16;
    engine.models = {{"m", 3}};
    targets->emplace(engine.id, engine);
    directory.setTargets(targets);
    directory.setPublishedWeights({"m", 4, startedAt, true});
    directory.setRecentWeights({});
    for (const SchedulerEngine &listed : directory.engines(publishedTime + deadline)) {
        BOOST_TEST(!listed.isServing);
    }
}
