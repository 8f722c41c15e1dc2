#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "decision/request_scheduler.h"
#include "gateway/request_intake.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// One request's part in the rollout of its service: whether it goes to the ordered version, and what its first target made of it. Retries go
/// to the version that serves and aren't counted.
class RolloutExposure
{
public:
    /// Both must outlive this object.
    RolloutExposure(Gateway &gateway, const RequestIntake &intake);

    /// Decides whether the request goes to the ordered version. Call it once, before the request is queued.
    void begin();

    /// Whether the request is to be sent to the ordered version and has not been sent yet.
    bool isPending() const;

    /// The scheduler's pool for the request.
    std::string_view pool() const;

    /// Whether this host has lost the right to send the request to the ordered version.
    bool hasLapsed(TimePoint now) const;

    /// The request is not sent to the ordered version after all. Does nothing unless isPending().
    void withdraw();

    void onSent(const Target &target, const SchedulerAssignment &assignment, TimePoint now);
    void onFirstByte(TimePoint now);

    /// The request is no longer in flight at its target.
    void onEnded(DispatchResult result, TimePoint now);

private:
    Gateway &gateway_;
    const RequestIntake &intake_;
    bool isPending_ = false;
    bool isObserved_ = false; ///< Its first target has the request.
    bool wasSent_ = false;
    bool isCandidate_ = false; ///< The first target is of the ordered version.
    std::string target_;
    std::string version_; ///< Software version of the first target.
    double expectedSeconds_ = 1; ///< Until the first byte.
    TimePoint sentAt_;
    std::optional<TimePoint> firstByteAt_;
};

} // namespace Lovageloft
