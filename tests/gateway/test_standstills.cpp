#include <boost/test/unit_test.hpp>

#include "gateway/standstills.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(StandstillsTest)

BOOST_AUTO_TEST_CASE(ordinaryLooksAreNoStandstill)
{
    Standstills standstills;
    BOOST_TEST((standstills.justEnded(start) == Duration::zero()));
    for (int i = 0; i < 10; ++i) {
        standstills.look(start + i * 260ms);
        BOOST_TEST((standstills.justEnded(start + i * 260ms + 100ms) == Duration::zero()));
    }
}

BOOST_AUTO_TEST_CASE(aStandstillIsToldBeforeTheNextLookAndAMomentAfterIt)
{
    Standstills standstills;
    standstills.look(start);
    BOOST_TEST((standstills.justEnded(start + 4s) == 4s));
    standstills.look(start + 4s);
    BOOST_TEST((standstills.justEnded(start + 4100ms) == 4100ms));
    standstills.look(start + 4250ms);
    standstills.look(start + 4500ms);
    BOOST_TEST((standstills.justEnded(start + 4600ms) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(standstillsRightAfterOneAnotherCountAsOne)
{
    // A host is frozen again a tenth of a second after it woke, before it has read what had come. Counted by the second freeze alone, what
    // it then reads would be taken for three seconds younger than it may be.
    Standstills standstills;
    standstills.look(start);
    standstills.look(start + 3s);
    standstills.look(start + 3100ms);
    standstills.look(start + 4100ms);
    BOOST_TEST((standstills.justEnded(start + 4100ms) == 4100ms));
    for (int i = 1; i <= 5; ++i) {
        standstills.look(start + 4100ms + i * 250ms);
    }
    standstills.look(start + 7s);
    BOOST_TEST((standstills.justEnded(start + 7s) == 1650ms));
}

BOOST_AUTO_TEST_SUITE_END()
