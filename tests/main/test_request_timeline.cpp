#define BOOST_TEST_MODULE main
#include <boost/test/unit_test.hpp>

#include <sstream>

#include "main/request_timeline.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(RequestTimelineTest)

BOOST_AUTO_TEST_CASE(linesOfAllHostsAreInOrderOfTimeWithTheirStateChanges)
{
    std::istringstream first(R"(started
{"time":"2026-01-30T00:15:02.500Z","level":"info","host":"a","event":"store_lost","duty":"targets"}
{"time":"2026-01-30T00:15:02.900Z","level":"info","host":"a","event":"request_ended","request":"r1","outcome":"not_fresh","status":503}
{"time":"2026-01-30T00:15:02.847Z","level":"info","host":"a","event":"request_refused","request":"r1","code":2006,"proof_age_ms":4854}
{"time":"2026-01-30T00:15:02.848Z","level":"info","host":"a","event":"request_sent","request":"other","target":"i-1"}
{"time":"2026-01-30T00:14:00.000Z","level":"info","host":"a","event":"host_started"}
)");
    std::istringstream second(R"({"time":"2026-01-30T00:15:03.100Z","level":"info","host":"b","event":"request_sent","request":"r1","target":"i-2"}
{"time":"2026-01-30T00:15:02.950Z","level":"info","host":"c","event":"store_lost","duty":"targets"}
)");
    RequestTimeline timeline("r1");
    timeline.read(first);
    timeline.read(second);
    BOOST_TEST(timeline.text() == R"(2026-01-30T00:15:02.500Z a  . store_lost duty=targets
2026-01-30T00:15:02.847Z a  request_refused code=2006 proof_age_ms=4854
2026-01-30T00:15:02.900Z a  request_ended outcome=not_fresh status=503
2026-01-30T00:15:03.100Z b  request_sent target=i-2
)");
}

BOOST_AUTO_TEST_CASE(theTimelineBeginsWithTheStateOfTheHost)
{
    // Guards against a refused key that can't be explained: the lines with the configuration in force and with the withdrawal of the key precede the
    // request by far. Lines of other hosts and other keys are left out.
    std::istringstream log(R"({"time":"2026-01-30T00:14:00.100Z","host":"a","event":"configuration_in_force","version":2}
{"time":"2026-01-30T00:14:30.100Z","host":"a","event":"key_withdrawn","key":"0badcafe","team":"t","configuration":3}
{"time":"2026-01-30T00:14:30.100Z","host":"a","event":"key_withdrawn","key":"11111111","team":"u","configuration":3}
{"time":"2026-01-30T00:14:30.101Z","host":"a","event":"configuration_in_force","version":3}
{"time":"2026-01-30T00:14:30.102Z","host":"b","event":"configuration_in_force","version":3}
{"time":"2026-01-30T00:15:02.500Z","host":"a","event":"request_refused","request":"r1","code":1004,"configuration":3,"key":"0badcafe"}
)");
    RequestTimeline timeline("r1");
    timeline.read(log);
    BOOST_TEST(timeline.text() == R"(2026-01-30T00:14:30.100Z a  < key_withdrawn configuration=3 key=0badcafe team=t
2026-01-30T00:14:30.101Z a  < configuration_in_force version=3
2026-01-30T00:15:02.500Z a  request_refused code=1004 configuration=3 key=0badcafe
)");
}

// Guards against a request at a new version that nobody can explain, as its rollout began long before.
BOOST_AUTO_TEST_CASE(theTimelineTellsTheRolloutOfTheVersionThatRanARequest)
{
    std::istringstream log(
        R"({"time":"2026-01-30T00:14:00.100Z","host":"a","event":"rollout_known","service":"s","version":"v2","phase":"running","stage":0,"position":1}
{"time":"2026-01-30T00:14:30.100Z","host":"a","event":"rollout_known","service":"s","version":"v2","phase":"running","stage":1,"position":2}
{"time":"2026-01-30T00:15:02.500Z","host":"a","event":"request_sent","request":"r1","target":"i-1","version":"v2","trial":true}
)");
    RequestTimeline timeline("r1");
    timeline.read(log);
    BOOST_TEST(timeline.text() == R"(2026-01-30T00:14:30.100Z a  < rollout_known phase=running position=2 service=s stage=1 version=v2
2026-01-30T00:15:02.500Z a  request_sent target=i-1 trial=true version=v2
)");
}

BOOST_AUTO_TEST_CASE(aRequestWithoutLinesHasNoTimeline)
{
    std::istringstream log(R"({"time":"2026-01-30T00:15:02.500Z","host":"a","event":"store_lost"})");
    RequestTimeline timeline("r1");
    timeline.read(log);
    BOOST_TEST(timeline.text().empty());
}

BOOST_AUTO_TEST_SUITE_END()
