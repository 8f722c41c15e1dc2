#pragma once

#include <mutex>
#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// Detects pauses of the whole process: the machine was frozen or the process got no CPU time.
///
/// Without it, a host takes messages that it reads after a pause for current ones. tick() logs each pause of more than 500 ms: nothing else
/// in the log shows it, and actions that come seconds late because of it look like logic errors. Thread-safe.
class PauseDetector
{
public:
    /// Must be called every 250 ms.
    void tick(TimePoint now);

    /// If a pause ends now or ended less than 500 ms ago, the time since it began; otherwise zero. Pauses in quick succession count as one.
    Duration recentPause(TimePoint now) const;

private:
    mutable std::mutex mutex_;
    std::optional<TimePoint> lastTickAt_;
    TimePoint pauseEndedAt_; ///< End of the last pause.
    Duration pauseDuration_{}; ///< Length of the last pause.
};

} // namespace Lovageloft
