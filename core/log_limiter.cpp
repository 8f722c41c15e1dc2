#include "core/log_limiter.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

LogLimiter::LogLimiter(double rate, double burst)
    : rate_(rate)
    , burst_(burst)
{
}

bool LogLimiter::admit(std::string_view event, TimePoint now)
{
    auto found = buckets_.find(event);
    if (found == buckets_.end()) {
        found = buckets_.emplace(event, Bucket{burst_, now}).first;
    }
    Bucket &bucket = found->second;
    bucket.lines = std::min(burst_, bucket.lines + rate_ * std::max(0.0, toSeconds(now - bucket.filledAt)));
    bucket.filledAt = std::max(bucket.filledAt, now);
    if (bucket.lines < 1) {
        ++bucket.suppressed;
        return false;
    }
    bucket.lines -= 1;
    return true;
}

std::vector<LogLimiter::Suppressed> LogLimiter::consumeSuppressed()
{
    std::vector<Suppressed> consumed;
    for (auto &[event, bucket] : buckets_) {
        if (bucket.suppressed > bucket.reported) {
            consumed.push_back({event, bucket.suppressed - std::exchange(bucket.reported, bucket.suppressed)});
        }
    }
    return consumed;
}

std::map<std::string, std::uint64_t, std::less<>> LogLimiter::suppressed() const
{
    std::map<std::string, std::uint64_t, std::less<>> counts;
    for (const auto &[event, bucket] : buckets_) {
        if (bucket.suppressed > 0) {
            counts.emplace(event, bucket.suppressed);
        }
    }
    return counts;
}

} // namespace Lovageloft
