#include "decision/answer_counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Lovageloft
{

namespace
{

/// By how much a busy host may see an answer late.
constexpr Duration hostDelay = std::chrono::milliseconds(10);

/// Shorter expected times, in seconds, are taken as this.
constexpr double minExpectedSeconds = 0.001;

/// Answers before the means are used.
constexpr std::uint32_t minAnswers = 8;

/// Answers over which the means run.
constexpr double meanAnswers = 32;

} // namespace

std::uint32_t AnswerCounts::total() const
{
    return std::accumulate(answered.begin(), answered.end(), failed);
}

std::uint32_t AnswerCounts::slowerFrom(std::size_t bucket) const
{
    return std::accumulate(answered.begin() + static_cast<std::ptrdiff_t>(std::min(bucket, bucketCount)), answered.end(), std::uint32_t{0});
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    std::transform(answered.begin(), answered.end(), other.answered.begin(), answered.begin(), std::plus<>());
    failed += other.failed;
    return *this;
}

std::size_t slownessBucket(double slowness)
{
    if (!(slowness > 1)) {
        return 0;
    }
    const double bucket = 1 + std::floor(2 * std::log2(slowness));
    return static_cast<std::size_t>(std::min(bucket, static_cast<double>(AnswerCounts::bucketCount - 1)));
}

AnswerTimes relativeTimes(Duration firstByte, Duration whole, double expectedFirstByte, double expectedWhole)
{
    return {toSeconds(firstByte + hostDelay) / std::max(expectedFirstByte, minExpectedSeconds),
            toSeconds(whole + hostDelay) / std::max(expectedWhole, minExpectedSeconds)};
}

void UsualTimes::add(const AnswerTimes &times)
{
    if (!(times.firstByte > 0) || !(times.whole > 0)) {
        return;
    }
    ++count_;
    const double weight = 1 / std::min(static_cast<double>(count_), meanAnswers);
    logFirstByte_ += weight * (std::log(times.firstByte) - logFirstByte_);
    logWhole_ += weight * (std::log(times.whole) - logWhole_);
}

std::optional<double> UsualTimes::slowness(const AnswerTimes &times) const
{
    if (count_ < minAnswers) {
        return std::nullopt;
    }
    return std::max(times.firstByte / std::exp(logFirstByte_), times.whole / std::exp(logWhole_));
}

} // namespace Lovageloft
