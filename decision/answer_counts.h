#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// Answers of one software version on one route, counted by how slow they were.
struct AnswerCounts
{
    static constexpr std::size_t bucketCount = 8;

    std::array<std::uint32_t, bucketCount> answered{}; ///< Successful answers by slownessBucket().
    std::uint32_t failed = 0; ///< Failures, and requests that got no answer.

    std::uint32_t total() const;

    /// Successful answers in this bucket and the slower ones.
    std::uint32_t slowerFrom(std::size_t bucket) const;

    AnswerCounts &operator+=(const AnswerCounts &other);
    bool operator==(const AnswerCounts &) const = default;
};

/// The bucket of an answer that took `slowness` times as long as usual. The first bucket ends at 1, each further one at the square root of two
/// times the end of the one before; the last one has no end.
std::size_t slownessBucket(double slowness);

/// The first bucket of answers that took at least twice as long as usual.
inline constexpr std::size_t firstSlowBucket = 3;

/// Times of one answer, each as a multiple of what was expected of it.
struct AnswerTimes
{
    double firstByte = 0;
    double whole = 0;
};

/// The times of an answer relative to the expected ones, in seconds. Both are extended by the time by which a busy host may see any answer late: among
/// answers of a millisecond, such delays would look like a target that is several times slower.
AnswerTimes relativeTimes(Duration firstByte, Duration whole, double expectedFirstByte, double expectedWhole);

/// What is usual for the answers on one route: the running geometric means of both times.
class UsualTimes
{
public:
    /// Adds an answer. Times that are not positive are ignored.
    void add(const AnswerTimes &times);

    /// By what factor the answer took longer than usual, in the one of its times in which it did worse. Nothing before a few answers are known.
    std::optional<double> slowness(const AnswerTimes &times) const;

private:
    std::uint32_t count_ = 0;
    double logFirstByte_ = 0;
    double logWhole_ = 0;
};

} // namespace Lovageloft
