#pragma once

#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// Tells in the log when the process did nothing for a while, frozen by its machine or without its processor. Nothing else in the log of a
/// host shows that, and what the host then does seconds late looks like a fault of its logic.
class StandstillLog
{
public:
    /// To be called a few times a second.
    void look(TimePoint now);

private:
    std::optional<TimePoint> lookedAt_;
};

} // namespace Lovageloft
