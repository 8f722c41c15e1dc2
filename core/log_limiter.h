#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace Lovageloft
{

/// Keeps each event of a log within a rate and counts what is above it.
///
/// The load it is made for: a failing dependency or a burst of callers that makes one line come thousands of times a second. The
/// lines would cost the processor time that the requests need, and bury the one line that tells the cause. Not thread-safe.
class LogLimiter
{
public:
    /// Lines a second of each event, and how many may come at once.
    LogLimiter(double rate, double burst);

    /// Whether the line may be written; if not it is counted. Time may not go back.
    bool admit(std::string_view event, TimePoint now);

    struct Suppressed
    {
        std::string event;
        std::uint64_t lines = 0;
    };

    /// What was suppressed since the last call.
    std::vector<Suppressed> takeSuppressed();

    /// What was suppressed since the start, by event.
    std::map<std::string, std::uint64_t, std::less<>> suppressed() const;

private:
    struct Bucket
    {
        double lines = 0; ///< That may come now.
        TimePoint filledAt;
        std::uint64_t suppressed = 0;
        std::uint64_t told = 0;
    };

    double rate_;
    double burst_;
    std::map<std::string, Bucket, std::less<>> buckets_;
};

} // namespace Lovageloft
