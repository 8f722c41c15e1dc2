#pragma once

#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// How long work takes at one engine, relative to the usual 1, where engines share their machines with others or are of unlike speed.
///
/// Two figures are kept. The mean over seconds tells faster engines from slower ones. The newest stated pace is right for a few hundred milliseconds only, as
/// the other work on the machine changes, so its weight decays with its age. Performs no I/O and reads no clock.
class PaceTracker
{
public:
    /// The engine stated its pace at `now`; figures that are not positive are ignored.
    void onStated(double pace, TimePoint now);

    /// A request took `ratio` times the expected time, at an engine that states no pace.
    void onObserved(double ratio, TimePoint now);

    /// The expected pace of work that starts now.
    double pace(TimePoint now) const;

    /// The mean over seconds.
    double meanPace() const;

private:
    void addToMean(double logPace, TimePoint now);

    double meanLogPace_ = 0;
    TimePoint meanUpdatedAt_;
    bool hasMean_ = false;
    double statedLogPace_ = 0;
    std::optional<TimePoint> statedAt_;
};

} // namespace Lovageloft
