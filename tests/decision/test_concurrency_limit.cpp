#include <boost/test/unit_test.hpp>

#include "decision/concurrency_limit.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

struct LimitFixture
{
    LimitFixture()
    {
        limit.setRejectionLimit(4);
    }

    ConcurrencyLimit limit;
    TimePoint now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConcurrencyLimitTest, LimitFixture)

// Guards against more requests on their way than the target can reject in a second: three of four, the rest is in reserve.
BOOST_AUTO_TEST_CASE(requestsThatMayBeRejectedAreBounded)
{
    BOOST_TEST(limit.canSend(100, 2, now));
    BOOST_TEST(!limit.canSend(2, 3, now));
    limit.onRejected(100, now);
    BOOST_TEST(limit.canSend(0, 1, now));
    BOOST_TEST(!limit.canSend(0, 2, now));
    BOOST_TEST(limit.canSend(0, 2, now + 1200ms));
}

BOOST_AUTO_TEST_CASE(aTargetThatStatesHardlyAnyRejectionsGetsOneRequestAtATime)
{
    limit.setRejectionLimit(0.5);
    BOOST_TEST(limit.canSend(100, 0, now));
    BOOST_TEST(!limit.canSend(100, 1, now));
}

BOOST_AUTO_TEST_CASE(theLimitIsHalvedByARejectionAndFoundAgainByProbes)
{
    limit.onRejected(8, now);
    BOOST_TEST((limit.limit() == std::size_t{4}));
    now += 110ms;
    BOOST_TEST(limit.canSend(4, 0, now));
    BOOST_TEST(limit.onSent(4));
    BOOST_TEST((limit.limit() == std::size_t{4}));
    limit.onProbeAccepted(now + 10ms);
    BOOST_TEST((limit.limit() == std::size_t{5}));
}

// Guards against a rejected probe that costs the room which is known to be there, and is repeated at once.
BOOST_AUTO_TEST_CASE(aRejectedProbeLeavesTheLimitAndTheNextOneWaits)
{
    limit.onRejected(8, now);
    now += 110ms;
    BOOST_TEST(limit.onSent(4));
    limit.onRejected(4, now + 5ms);
    BOOST_TEST((limit.limit() == std::size_t{4}));
    BOOST_TEST(!limit.canSend(4, 0, now + 400ms));
    BOOST_TEST(limit.canSend(3, 0, now + 400ms));
    BOOST_TEST(limit.canSend(4, 0, now + 600ms));
}

// Guards against requests that were sent together and rejected together, each of which would halve the limit.
BOOST_AUTO_TEST_CASE(rejectionsOfOneMomentHalveTheLimitOnce)
{
    limit.onRejected(8, now);
    limit.onRejected(8, now + 1ms);
    BOOST_TEST((limit.limit() == std::size_t{4}));
}

// Guards against a limit that rises by a request within it, or by a probe whose fate is not known.
BOOST_AUTO_TEST_CASE(onlyAnAcceptedProbeRaisesTheLimit)
{
    limit.onRejected(8, now);
    now += 110ms;
    BOOST_TEST(!limit.onSent(3));
    limit.onProbeAccepted(now);
    BOOST_TEST((limit.limit() == std::size_t{4}));
    BOOST_TEST(limit.onSent(4));
    limit.onProbeCancelled();
    limit.onProbeAccepted(now);
    BOOST_TEST((limit.limit() == std::size_t{4}));
}

// Guards against rejections that come late for requests which were sent before the limit was halved, and would halve it again.
BOOST_AUTO_TEST_CASE(lateRejectionsOfOneMomentHalveTheLimitOnce)
{
    limit.setRejectionTime(150ms);
    limit.onRejected(8, now);
    limit.onRejected(7, now + 140ms);
    BOOST_TEST((limit.limit() == std::size_t{4}));
}

BOOST_AUTO_TEST_SUITE_END()
