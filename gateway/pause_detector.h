#pragma once

#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// Tells when the process did nothing for a while, frozen by its machine or without its processor.
///
/// What goes wrong without it: the host takes what it reads when it goes on for news of that moment. Nothing else in its log shows that it
/// stood still, and what it then does seconds late looks like a fault of its logic. For the event loop only.
class PauseDetector
{
public:
    /// To be called a few times a second.
    void tick(TimePoint now);

    /// The time since a standstill began that ends now or ended a moment ago; else zero. Standstills right after one another count as one.
    Duration recentPause(TimePoint now) const;

private:
    std::optional<TimePoint> lookedAt_;
    TimePoint endedAt_; ///< Of the last one.
    Duration length_{}; ///< The same.
};

} // namespace Lovageloft
