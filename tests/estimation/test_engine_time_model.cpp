#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "estimation/engine_time_model.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr TimeCoefficients truth{0.02, 1 / 50'700.0, 0.368e-9};
constexpr int hostCount = 87;

double trueSeconds(const PromptWork &work)
{
    return truth.fixedSeconds + work.missedTokens * truth.secondsPerToken
        + work.missedTokens * (work.heldTokens + work.missedTokens / 2) * truth.secondsPerPair;
}

/// A host and the sums of 86 others; each sees ten short prompts and a long one a second. `slowShare` of the observations take 2.5 times as long, and
/// requests wait for `meanWait` seconds that nobody expected.
struct Fleet
{
    explicit Fleet(double error)
        : models(hostCount, EngineTimeModel({truth.fixedSeconds * error, truth.secondsPerToken * error, truth.secondsPerPair * error}))
    {
    }

    PromptWork draw(bool isLong)
    {
        boost::random::uniform_real_distribution<double> part(0.5, 1.5);
        return isLong ? PromptWork{3'720 * part(random), 13'300 * part(random)} : PromptWork{291 * part(random), 92};
    }

    void play(Duration time, double slowShare, double meanWait)
    {
        boost::random::uniform_real_distribution<double> unit;
        for (const TimePoint end = now + time; now < end; now += 91ms) {
            ++step;
            for (EngineTimeModel &model : models) {
                const PromptWork work = draw(step % 11 == 0);
                const double wait = meanWait > 0 ? boost::random::exponential_distribution<double>(1 / meanWait)(random) : 0;
                model.observe(work, trueSeconds(work) * (unit(random) < slowShare ? 2.5 : 1) + wait, 0, 1, now);
            }
        }
        for (int host = 1; host < hostCount; ++host) {
            models[0].mergeStatistics(static_cast<std::uint64_t>(host), models[static_cast<std::size_t>(host)].ownStatistics(now), now);
        }
        models[0].update(now);
    }

    /// Median relative error of the first host's estimate for long or short prompts.
    double medianError(bool isLong)
    {
        std::vector<double> errors;
        for (int i = 0; i < 201; ++i) {
            const PromptWork work = draw(isLong);
            errors.push_back(std::abs(models[0].seconds(work) / trueSeconds(work) - 1));
        }
        std::nth_element(errors.begin(), errors.begin() + 100, errors.end());
        return errors[100];
    }

    Random random{7};
    std::vector<EngineTimeModel> models;
    TimePoint now = start;
    int step = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EngineTimeModelTest)

// Load: a fleet of 87 hosts starts with times that are half or twice the true ones. Guards against hosts that send work where it comes late.
BOOST_AUTO_TEST_CASE(timesAreKnownWithinTwoSecondsOfTraffic)
{
    for (const double error : {0.5, 2.0}) {
        Fleet fleet(error);
        fleet.play(2s, 0, 0);
        BOOST_TEST(fleet.medianError(true) < 0.25);
        BOOST_TEST(fleet.medianError(false) < 0.25);
    }
}

// Load: 15 of 100 observations are 2.5 times as long for 0.6 s. Guards against a disturbance of a few machines that changes the times of all.
BOOST_AUTO_TEST_CASE(aDisturbanceOfAFewEnginesChangesLittle)
{
    Fleet fleet(1);
    fleet.play(5s, 0, 0);
    fleet.play(600ms, 0.15, 0);
    BOOST_TEST(fleet.medianError(true) < 0.15);
    BOOST_TEST(fleet.medianError(false) < 0.15);
}

// Load: requests wait in the engines for as long again as they are computed, which no host knows. Guards against waits that are taken for slow engines.
BOOST_AUTO_TEST_CASE(unknownWaitsChangeTheTimesByLessThanHalf)
{
    Fleet fleet(1);
    fleet.play(8s, 0, 0.1);
    BOOST_TEST(fleet.medianError(true) < 0.5);
}

// Guards against a host that tells sums which no observations could have.
BOOST_AUTO_TEST_CASE(impossibleStatisticsAreIgnored)
{
    Fleet fleet(1);
    fleet.play(2s, 0, 0);
    TimeStatistics impossible;
    impossible.products.fill(std::numeric_limits<double>::quiet_NaN());
    fleet.models[0].mergeStatistics(1'000, impossible, fleet.now);
    impossible.products.fill(-1e9);
    fleet.models[0].mergeStatistics(1'001, impossible, fleet.now);
    fleet.models[0].update(fleet.now);
    BOOST_TEST(fleet.medianError(true) < 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
