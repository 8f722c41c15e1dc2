#include <boost/test/unit_test.hpp>

#include "decision/engine_health.h"

using namespace Lovageloft;

namespace
{

constexpr std::size_t engineCount = 18;

TimePoint at(double seconds)
{
    return TimePoint(fromSeconds(1000 + seconds));
}

struct Fixture
{
    Fixture()
    {
        health.setEngineCount(engineCount);
    }

    /// One ratio from every engine, `slow` from the first `count` of them.
    void observeAll(std::size_t count, double slow, double now)
    {
        for (std::size_t engine = 0; engine < engineCount; ++engine) {
            health.observe(static_cast<EngineIndex>(engine), engine < count ? slow : 1.0, at(now));
        }
    }

    std::size_t ejected() const
    {
        std::size_t count = 0;
        for (std::size_t engine = 0; engine < engineCount; ++engine) {
            count += health.isEjected(static_cast<EngineIndex>(engine)) ? 1 : 0;
        }
        return count;
    }

    EngineHealth health;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineHealthTest, Fixture)

BOOST_AUTO_TEST_CASE(anEngineAtATenthIsEjectedAndProbedBack)
{
    // An engine falls to a tenth of its speed but answers everything. Callers sent there miss their deadlines.
    double now = 0;
    for (; !health.isEjected(0) && now < 6; ++now) {
        observeAll(1, 10, now);
    }
    BOOST_TEST(health.isEjected(0));
    BOOST_TEST(ejected() == 1U);
    BOOST_TEST(!health.isProbeDue(0, at(now - 0.9)));
    BOOST_TEST(health.isProbeDue(0, at(now + 0.1)));
    health.observe(0, 9, at(now + 0.5));
    health.noteProbe(0, at(now + 0.5));
    BOOST_TEST(health.isEjected(0));
    BOOST_TEST(!health.isProbeDue(0, at(now + 2.4)));
    BOOST_TEST(health.isProbeDue(0, at(now + 2.6)));
    health.observe(0, 1, at(20));
    health.observe(0, 1, at(22));
    BOOST_TEST(!health.isEjected(0));
}

BOOST_AUTO_TEST_CASE(noEngineIsEjectedWhenAllAreSlow)
{
    // Saturation makes every answer late. Were engines ejected for it, the rest would get their load as well.
    for (int i = 0; i < 30; ++i) {
        observeAll(engineCount, 12, i);
    }
    BOOST_TEST(ejected() == 0U);
}

BOOST_AUTO_TEST_CASE(aBiasOfAllEstimatesEjectsNobodyAfterARestart)
{
    // A host starts and takes every engine for three times as fast as it is, be it a wrong setting. Without engines there is no service.
    for (std::size_t i = 0; i < 30 * engineCount; ++i) {
        const auto engine = static_cast<EngineIndex>(i % engineCount);
        health.observe(engine, 3, at(static_cast<double>(i)));
        BOOST_REQUIRE(!health.isEjected(engine));
    }
}

BOOST_AUTO_TEST_CASE(noMoreThanAThirdIsEjected)
{
    for (int i = 0; i < 30; ++i) {
        observeAll(8, 30, i);
    }
    BOOST_TEST(ejected() <= engineCount / 3);
}

BOOST_AUTO_TEST_CASE(oneLateAnswerEjectsNobody)
{
    observeAll(0, 1, 0);
    observeAll(0, 1, 1);
    observeAll(0, 1, 2);
    observeAll(1, 30, 3);
    BOOST_TEST(ejected() == 0U);
    BOOST_TEST(health.slowness(0) > 1);
}

BOOST_AUTO_TEST_SUITE_END()
