#include <boost/test/unit_test.hpp>

#include "gateway/pause_detector.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(PauseDetectorTest)

BOOST_AUTO_TEST_CASE(regularTicksAreNoPause)
{
    PauseDetector detector;
    BOOST_TEST((detector.recentPause(start) == Duration::zero()));
    for (int i = 0; i < 10; ++i) {
        detector.tick(start + i * 260ms);
        BOOST_TEST((detector.recentPause(start + i * 260ms + 100ms) == Duration::zero()));
    }
}

BOOST_AUTO_TEST_CASE(aPauseIsReportedBeforeTheNextTickAndAMomentAfterIt)
{
    PauseDetector detector;
    detector.tick(start);
    BOOST_TEST((detector.recentPause(start + 4s) == 4s));
    detector.tick(start + 4s);
    BOOST_TEST((detector.recentPause(start + 4100ms) == 4100ms));
    detector.tick(start + 4250ms);
    detector.tick(start + 4500ms);
    BOOST_TEST((detector.recentPause(start + 4600ms) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(pausesInQuickSuccessionCountAsOne)
{
    // A host is frozen again 0.1 s after it resumed, before it has read the messages that had arrived. If only the second pause counted, these
    // messages would be taken for up to three seconds newer than they are.
    PauseDetector detector;
    detector.tick(start);
    detector.tick(start + 3s);
    detector.tick(start + 3100ms);
    detector.tick(start + 4100ms);
    BOOST_TEST((detector.recentPause(start + 4100ms) == 4100ms));
    for (int i = 1; i <= 5; ++i) {
        detector.tick(start + 4100ms + i * 250ms);
    }
    detector.tick(start + 7s);
    BOOST_TEST((detector.recentPause(start + 7s) == 1650ms));
}

BOOST_AUTO_TEST_SUITE_END()
