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

    /// Adds one ratio per engine: `slow` for the first `count` engines and 1 for the others.
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

BOOST_AUTO_TEST_CASE(anEngineAtATenthOfItsSpeedIsEjectedAndReadmitted)
{
    // An engine drops to a tenth of its speed but answers all requests. Requests sent there would miss their deadlines.
    double now = 0;
    for (; !health.isEjected(0) && now < 6; ++now) {
        observeAll(1, 10, now);
    }
    BOOST_TEST(health.isEjected(0));
    BOOST_TEST(ejected() == 1U);
    BOOST_TEST(!health.isProbeDue(0, at(now - 0.9)));
    BOOST_TEST(health.isProbeDue(0, at(now + 0.1)));
    health.observe(0, 9, at(now + 0.5));
    health.onProbeSent(0, at(now + 0.5));
    BOOST_TEST(health.isEjected(0));
    BOOST_TEST(!health.isProbeDue(0, at(now + 2.4)));
    BOOST_TEST(health.isProbeDue(0, at(now + 2.6)));
    health.observe(0, 1, at(20));
    health.observe(0, 1, at(22));
    BOOST_TEST(!health.isEjected(0));
}

BOOST_AUTO_TEST_CASE(noEngineIsEjectedWhenAllAreSlow)
{
    // At saturation every answer is late. If engines were ejected for that, the others would get their load as well.
    for (int i = 0; i < 30; ++i) {
        observeAll(engineCount, 12, i);
    }
    BOOST_TEST(ejected() == 0U);
}

BOOST_AUTO_TEST_CASE(aBiasOfAllEstimatesEjectsNoEngineAfterARestart)
{
    // A host starts and expects every engine to be three times as fast as it is, for example from a wrong setting. If it ejected them,
    // it could serve no requests.
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

BOOST_AUTO_TEST_CASE(oneLateAnswerEjectsNoEngine)
{
    observeAll(0, 1, 0);
    observeAll(0, 1, 1);
    observeAll(0, 1, 2);
    observeAll(1, 30, 3);
    BOOST_TEST(ejected() == 0U);
    BOOST_TEST(health.slowdownFactor(0) > 1);
}

BOOST_AUTO_TEST_SUITE_END()
