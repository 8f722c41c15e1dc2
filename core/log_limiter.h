#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace Lovageloft
{

/// Limits the rate of each log event with a token bucket, and counts the lines above it.
///
/// Designed for failing dependencies and bursts of callers, which cause thousands of equal lines per second. These would take processor time from
/// requests and hide the line that shows the cause. Not thread-safe.
class LogLimiter
{
public:
    /// `rate`: lines per second of each event; `burst`: lines that may come at once.
    LogLimiter(double rate, double burst);

    /// Whether a line may be written; if not, it is counted as suppressed. `now` must not decrease between calls.
    bool admit(std::string_view event, TimePoint now);

    struct Suppressed
    {
        std::string event;
        std::uint64_t lines = 0;
    };

    /// Numbers of suppressed lines since the last call, only of events with any.
    std::vector<Suppressed> consumeSuppressed();

    /// Numbers of suppressed lines since the start, by event.
    std::map<std::string, std::uint64_t, std::less<>> suppressed() const;

private:
    struct Bucket
    {
        double lines = 0; ///< Lines that may be written now.
        TimePoint filledAt;
        std::uint64_t suppressed = 0;
        std::uint64_t reported = 0;
    };

    double rate_;
    double burst_;
    std::map<std::string, Bucket, std::less<>> buckets_;
};

} // namespace Lovageloft
