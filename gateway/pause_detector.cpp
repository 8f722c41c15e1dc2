#include "gateway/pause_detector.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Twice the time between two looks: less is an ordinary wait for the processor.
constexpr Duration shortestStandstill = std::chrono::milliseconds(500);

/// For so long after one the threads still take up what came meanwhile.
constexpr Duration wakeTime = std::chrono::milliseconds(500);

} // namespace

void PauseDetector::tick(TimePoint now)
{
    const auto before = std::exchange(lookedAt_, now);
    if (before && now - *before > shortestStandstill) {
        const bool goesOn = *before - endedAt_ < wakeTime; // It was awake too shortly to take up what had come.
        length_ = now - (goesOn ? endedAt_ - length_ : *before);
        endedAt_ = now;
        writeLog(LogLevel::Warning, "host_stood_still", {{"ms", toMillis(length_)}});
    }
}

Duration PauseDetector::recentPause(TimePoint now) const
{
    const Duration since = lookedAt_ ? now - *lookedAt_ : Duration::zero();
    if (since > shortestStandstill) {
        return since;
    }
    return now - endedAt_ < wakeTime ? length_ + (now - endedAt_) : Duration::zero();
}

} // namespace Lovageloft
