#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "decision/answer_counts.h"

namespace Lovageloft
{

/// A sequential test whether the bad answers of a version are more frequent than those of the version that serves: a sequential probability ratio
/// test that starts again whenever it favours the usual share (Page's CUSUM), so that a version that turns bad late is found as quickly. The
/// share of the bad version is estimated from its earlier answers, as it is not known in advance; see K. Cohen and Q. Zhao, "Asymptotically
/// Optimal Anomaly Detection via Sequential Testing", IEEE Transactions on Signal Processing, 2015, section IV, for estimated parameters in
/// the likelihood ratio.
class RatioTest
{
public:
    /// Adds answers of the version. `usualShare`: the share of bad answers of the version that serves at the same time, between 0 and 1.
    void add(std::uint32_t bad, std::uint32_t good, double usualShare);

    /// How far the test is from its decision: 0 without any sign of a bad version, 1 and above if the version is bad.
    double level() const;

    void restart();

private:
    double sum_ = 0; ///< Logarithm of the likelihood ratio since the last restart.
    double bad_ = 0; ///< Answers since the last restart.
    double total_ = 0;
};

/// Judges whether a version answers worse than the one that serves, route by route. An answer is bad if it is a failure, or if it is slower
/// than nearly all answers of the serving version on the same route at the same time, and at least twice as slow as usual.
class VersionJudge
{
public:
    /// Sets all answers counted on a route so far. Counts that are lower than before are taken as those of a new start: they only become the
    /// base of the next comparison.
    void update(std::uint64_t route, const AnswerCounts &serving, const AnswerCounts &candidate);

    /// The highest level of all routes; see RatioTest::level().
    double level() const;

    /// Starts all tests again; the counts so far stay the base of the next update.
    void restart();

private:
    struct Route
    {
        RatioTest test;
        AnswerCounts serving; ///< As of the last update.
        AnswerCounts candidate; ///< As of the last update.
        double usual = 0; ///< Recent answers of the serving version; older ones count less.
        double usualFailed = 0;
        std::array<double, AnswerCounts::bucketCount> usualAnswered{};
    };

    static std::size_t slowFrom(const Route &route);

    std::map<std::uint64_t, Route> routes_;
};

} // namespace Lovageloft
