#pragma once

#include <chrono>
#include <cstdint>

namespace Lovageloft
{

using Duration = std::chrono::nanoseconds;

/// The monotonic clock that goes on counting while the machine is suspended (CLOCK_BOOTTIME).
/// What goes wrong without it: a paused host wakes, its clock has stood still, and it takes a lapsed
/// lease or an old confirmation for a valid one.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that the standard's clocks use.

    static time_point now() noexcept;
};

/// A point on BootClock. The pure packages take it as a parameter and never read the clock.
using TimePoint = BootClock::time_point;

/// Seconds as a double, for rates.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Whole milliseconds, for logs and messages.
constexpr std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// A duration from seconds; negative and not-a-number become zero, and too large ones a hundred years.
constexpr Duration fromSeconds(double seconds)
{
    constexpr double hundredYears = 3.15e9;
    if (!(seconds > 0)) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds < hundredYears ? seconds : hundredYears));
}

} // namespace Lovageloft
