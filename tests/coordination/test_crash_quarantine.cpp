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
        BOOST_TEST(!quarantine.countCrash({request, 1, request}, start).has_value());
    }
    BOOST_TEST(!quarantine.countCrash({request, 2, request}, start).has_value());
    BOOST_TEST(quarantine.countCrash({request, 3, request}, start).has_value());
    BOOST_TEST(quarantine.countCrash({request, 1, request}, start).has_value());
    BOOST_TEST(!quarantine.countCrash({RequestFeature{43}, 1, RequestFeature{43}}, start).has_value());
}

// Guards against refusing requests that happened to run on targets that crashed for another reason.
BOOST_AUTO_TEST_CASE(anAnsweredRequestIsNotSuspect)
{
    CrashQuarantine quarantine;
    quarantine.noteSound(request, start);
    for (std::uint64_t target = 1; target <= 4; ++target) {
        BOOST_TEST(!quarantine.countCrash({request, target, request}, start + 1s).has_value());
    }
    BOOST_TEST(quarantine.objectionTo({request, 1s, false}, start + 2s).has_value());
    BOOST_TEST(!quarantine.objectionTo({request, 1s, true}, start + 3s).has_value());
    BOOST_TEST(!quarantine.objectionTo({RequestFeature{43}, 1s, false}, start + 2s).has_value());
    BOOST_TEST(quarantine.countCrash({request, 5, request}, start + 3s)->isCertain);
}

// Guards against refusing a request that many callers send while some targets break off, before any of them has answered it to the end.
BOOST_AUTO_TEST_CASE(aRequestWhoseAnswerHasBegunNeedsMoreCrashes)
{
    CrashQuarantine quarantine;
    quarantine.noteBegun(request, start);
    for (std::uint64_t target = 1; target <= 4; ++target) {
        BOOST_TEST(!quarantine.countCrash({request, target, request}, start).has_value());
    }
    BOOST_TEST(quarantine.objectionTo({request, 0s, false}, start).has_value());
    quarantine.noteBegun(request, start + 2s);
    BOOST_TEST(quarantine.countCrash({request, 5, request}, start + 2s)->isCertain);
    BOOST_TEST(!quarantine.objectionTo({request, 2s, true}, start + 2s).has_value());
}

BOOST_AUTO_TEST_CASE(aQuarantineIsLiftedAndNeedsMoreCrashesThen)
{
    CrashQuarantine quarantine;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        quarantine.countCrash({request, target, request}, start);
    }
    BOOST_TEST(quarantine.add(request, start));
    BOOST_TEST(!quarantine.add(request, start));
    quarantine.onObjection({request, 10s}, start);
    BOOST_TEST(quarantine.lift(request));
    BOOST_TEST(!quarantine.lift(request));
    BOOST_TEST(!quarantine.contains(request, start));
    BOOST_TEST(!quarantine.countCrash({request, 4, request}, start + 2s).has_value());
    BOOST_TEST(quarantine.countCrash({request, 5, request}, start + 2s)->isCertain);
    quarantine.onObjection({request, 1s}, start + 3s);
    BOOST_TEST(!quarantine.countCrash({request, 6, request}, start + 5s).has_value());
}

BOOST_AUTO_TEST_CASE(crashesFarApartAreNotCountedTogetherAndQuarantineExpires)
{
    CrashQuarantine quarantine;
    BOOST_TEST(!quarantine.countCrash({request, 1, request}, start).has_value());
    BOOST_TEST(!quarantine.countCrash({request, 2, request}, start + 1min).has_value());
    BOOST_TEST(!quarantine.countCrash({request, 3, request}, start + 4min).has_value());
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
        quarantine.countCrash({RequestFeature{i}, 1, RequestFeature{i}}, start);
        quarantine.add(RequestFeature{i}, start);
    }
    BOOST_TEST(quarantine.size(start) == 1'024U);
    BOOST_TEST(quarantine.contains(RequestFeature{20'000}, start));
    BOOST_TEST(!quarantine.contains(RequestFeature{1}, start));
    BOOST_TEST(!quarantine.countCrash({RequestFeature{1}, 2, RequestFeature{1}}, start).has_value()); // Its first crash was evicted.
    BOOST_TEST(!quarantine.countCrash({RequestFeature{1}, 3, RequestFeature{1}}, start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
