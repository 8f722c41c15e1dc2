#define BOOST_TEST_MODULE weights_after_fleet_restart
#include <boost/test/unit_test.hpp>

#include "gateway/target_directory.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(noRequestGoesToOlderWeightsAfterTheDeadlineThoughTheWholeFleetHasRestarted)
{
    // New weights are named, and 6.5 s later all hosts lose power at once while an engine still waits for its turn. No host is left that
    // knows how long ago the weights were named, and the store tells no time: taken for half a deadline old, they had readers get figures
    // of weights that no longer count until more than nine seconds after the naming, where operators allow eight. By then the key that
    // the leader had left for half a deadline is gone.
    constexpr TimePoint namedAt{1h};
    constexpr Duration deadline = 8s;
    const TimePoint startedAt = namedAt + 6'500ms;
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
    for (const SchedulerEngine &listed : directory.engines(namedAt + deadline)) {
        BOOST_TEST(!listed.isServing);
    }
}
