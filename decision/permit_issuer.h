#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace Lovageloft
{

/// Answer to a request for a permit.
struct PermitDecision
{
    bool isGranted = false;
    Duration wait{}; ///< Until the permit becomes valid; if it is not granted, until it makes sense to ask again.
};

/// Gives out permits to send one request each to targets that state a rate limit, evenly spaced in time (generic cell rate algorithm). A permit
/// may become valid a moment later, so that a host with demand needs not ask again. Hosts that get none are told different times to ask
/// again, in the order in which they asked, so that few ask for each permit. Not thread-safe; reads no clock.
class PermitIssuer
{
public:
    /// Another host may have issued permits until `from`: targets that are new to this one get none before.
    void startAt(TimePoint from);

    /// Requests a permit for a target that takes `ratePerSecond` permits a second from this issuer.
    PermitDecision request(std::string_view target, double ratePerSecond, TimePoint now);

    /// Drops the state of targets that nobody has asked for lately.
    void dropUnused(TimePoint now);

private:
    struct Schedule
    {
        Duration spacing{};
        TimePoint nextPermitAt;
        TimePoint nextRequestAt; ///< When the next host that is denied a permit is told to ask again.
        TimePoint requestedAt;
    };

    Schedule &scheduleOf(std::string_view target, Duration spacing, TimePoint now);

    std::map<std::string, Schedule, std::less<>> schedules_;
    TimePoint from_;
};

} // namespace Lovageloft
