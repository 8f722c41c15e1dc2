#include "gateway/pause_detector.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Twice the interval between ticks; shorter gaps are ordinary scheduling delays.
constexpr Duration minPause = std::chrono::milliseconds(500);

/// After a pause, the threads may need this long to process what arrived during it.
constexpr Duration recoveryTime = std::chrono::milliseconds(500);

} // namespace

void PauseDetector::tick(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const auto previousTickAt = std::exchange(lastTickAt_, now);
    if (previousTickAt && now - *previousTickAt > minPause) {
        const bool isContinuation = *previousTickAt - pauseEndedAt_ < recoveryTime; // Too short to process what had arrived.
        pauseDuration_ = now - (isContinuation ? pauseEndedAt_ - pauseDuration_ : *previousTickAt);
        pauseEndedAt_ = now;
        writeLog(LogLevel::Warning, "host_stood_still", {{"ms", toMillis(pauseDuration_)}});
    }
}

Duration PauseDetector::recentPause(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const Duration sinceLastTick = lastTickAt_ ? now - *lastTickAt_ : Duration::zero();
    if (sinceLastTick > minPause) {
        return sinceLastTick;
    }
    return now - pauseEndedAt_ < recoveryTime ? pauseDuration_ + (now - pauseEndedAt_) : Duration::zero();
}

} // namespace Lovageloft
