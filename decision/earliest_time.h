#pragma once

#include <algorithm>
#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// The earliest of several times that are still to come.
class EarliestTime
{
public:
    explicit EarliestTime(TimePoint now)
        : now_(now)
    {
    }

    /// Ignores a time that is not after now.
    void consider(TimePoint at)
    {
        if (at > now_) {
            earliest_ = std::min(earliest_.value_or(at), at);
        }
    }

    void consider(const std::optional<TimePoint> &at)
    {
        if (at) {
            consider(*at);
        }
    }

    /// Nothing if there was none.
    std::optional<TimePoint> value() const
    {
        return earliest_;
    }

private:
    TimePoint now_;
    std::optional<TimePoint> earliest_;
};

} // namespace Lovageloft
