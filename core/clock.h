#pragma once

#include <chrono>
#include <cstdint>

namespace Lovageloft
{

using Duration = std::chrono::nanoseconds;

/// A monotonic clock that also advances while the machine is suspended (CLOCK_BOOTTIME). With a clock that stops meanwhile, a host that resumes
/// would take an expired lease or an old confirmation for a valid one.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that the standard's clocks use.

    static time_point now() noexcept;
};

/// A time on BootClock. `coordination/` and `decision/` get it as a parameter and never read the clock.
using TimePoint = BootClock::time_point;

/// The duration in seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// The duration of a number of seconds. Negative numbers and NaN give zero; the maximum is a hundred years.
constexpr Duration fromSeconds(double seconds)
{
    constexpr double hundredYears = 3.15e9;
    if (!(seconds > 0)) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds < hundredYears ? seconds : hundredYears));
}

} // namespace Lovageloft
