#include <boost/test/unit_test.hpp>

#include "gateway/pause_detector.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(PauseDetectorTest)

BOOST_AUTO_TEST_CASE(ordinaryLooksAreNoStandstill)
{
    PauseDetector detector;
    BOOST_TEST((detector.recentPause(start) == Duration::zero()));
    for (int i = 0; i < 10; ++i) {
        detector.tick(start + i * 260ms);
        BOOST_TEST((detector.recentPause(start + i * 260ms + 100ms) == Duration::zero()));
    }
}

BOOST_AUTO_TEST_CASE(aStandstillIsToldBeforeTheNextLookAndAMomentAfterIt)
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

BOOST_AUTO_TEST_CASE(standstillsRightAfterOneAnotherCountAsOne)
{
    // A host is frozen again a tenth of a second after it woke, before it has read what had come. Counted by the second freeze alone, what
    // it then reads would be taken for three seconds younger than it may be.
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
