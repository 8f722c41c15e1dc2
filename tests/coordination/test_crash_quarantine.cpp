#include <boost/test/unit_test.hpp>

#include "coordination/crash_quarantine.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{1h};
constexpr RequestFeature request{42};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashQuarantineTest)

BOOST_AUTO_TEST_CASE(onlyCrashesOfDifferentTargetsCount)
{
    CrashQuarantine quarantine;
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(!quarantine.countCrash({request, 1}, start));
    }
    BOOST_TEST(!quarantine.countCrash({request, 2}, start));
    BOOST_TEST(quarantine.countCrash({request, 3}, start));
    BOOST_TEST(quarantine.countCrash({request, 1}, start));
    BOOST_TEST(!quarantine.countCrash({RequestFeature{43}, 1}, start));
}

// Guards against refusing requests that happened to run on targets that crashed for another reason.
BOOST_AUTO_TEST_CASE(anAnsweredRequestIsNotSuspect)
{
    CrashQuarantine quarantine;
    quarantine.noteAnswered(request);
    BOOST_TEST(!quarantine.isSuspect(request));
    BOOST_TEST(!quarantine.add(request, start));
    BOOST_TEST(!quarantine.contains(request, start));
    BOOST_TEST(quarantine.add(RequestFeature{43}, start));
    BOOST_TEST(!quarantine.add(RequestFeature{43}, start));
    BOOST_TEST(quarantine.contains(RequestFeature{43}, start));
}

BOOST_AUTO_TEST_CASE(crashesFarApartAreNotCountedTogetherAndQuarantineExpires)
{
    CrashQuarantine quarantine;
    BOOST_TEST(!quarantine.countCrash({request, 1}, start));
    BOOST_TEST(!quarantine.countCrash({request, 2}, start + 1min));
    BOOST_TEST(!quarantine.countCrash({request, 3}, start + 4min));
    quarantine.add(request, start);
    BOOST_TEST(quarantine.contains(request, start + 9min));
    BOOST_TEST(!quarantine.contains(request, start + 11min));
    BOOST_TEST(quarantine.size(start + 11min) == 0U);
    BOOST_TEST(quarantine.add(request, start + 11min));
    BOOST_TEST(quarantine.contains(request, start + 12min));
}

// Guards against memory that grows with every lost request.
BOOST_AUTO_TEST_CASE(theNumberOfEntriesIsLimited)
{
    CrashQuarantine quarantine;
    for (std::uint64_t i = 1; i <= 20'000; ++i) {
        quarantine.countCrash({RequestFeature{i}, 1}, start);
        quarantine.add(RequestFeature{i}, start);
    }
    BOOST_TEST(quarantine.size(start) == 1'024U);
    BOOST_TEST(quarantine.contains(RequestFeature{20'000}, start));
    BOOST_TEST(!quarantine.contains(RequestFeature{1}, start));
    BOOST_TEST(!quarantine.countCrash({RequestFeature{1}, 2}, start)); // Its first crash was evicted.
    BOOST_TEST(!quarantine.countCrash({RequestFeature{1}, 3}, start));
}

BOOST_AUTO_TEST_SUITE_END()
