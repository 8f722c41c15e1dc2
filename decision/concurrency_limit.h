#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "core/clock.h"

namespace Lovageloft
{

/// Finds how many requests a target can hold at a time, where the target tolerates only few rejections a second.
///
/// Requests are undecided until the target has accepted or rejected them. No request is sent if, with all undecided ones rejected, there were more
/// rejections in a second than tolerated, so that the bound holds even if the target's room shrinks at any moment. Below it, the limit follows the
/// rejections: it is halved when the target rejects a request that the limit allowed, and raised by probes, each of them a request above the limit.
/// Not thread-safe; reads no clock.
class ConcurrencyLimit
{
public:
    /// Sets the rejections a second above which the target fails. A fifth is kept in reserve.
    void setRejectionLimit(double rejectionsPerSecond);

    /// Sets the longest time after which a rejection may be heard.
    void setRejectionTime(Duration time);

    /// Whether another request may be sent while the target has `inUse` requests, of which `undecided` may still be rejected. A caller that sends it must
    /// call onSent().
    bool canSend(std::size_t inUse, std::size_t undecided, TimePoint now) const;

    /// A request is sent in addition to `inUse` others. Returns whether it is a probe.
    bool onSent(std::size_t inUse);

    /// The target has rejected a request and holds `inUse` others.
    void onRejected(std::size_t inUse, TimePoint now);

    /// The target has accepted the newest probe.
    void onProbeAccepted(TimePoint now);

    /// The newest probe has ended, and it is not known whether the target would have accepted it.
    void onProbeCancelled();

    /// Number of requests that the target is believed to hold; nothing while it has not rejected any.
    std::optional<std::size_t> limit() const
    {
        return limit_;
    }

    /// When another request may be allowed because time has passed; nothing if there is no such time.
    std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    std::size_t recentRejections(TimePoint now) const;

    std::size_t budget_ = 1; ///< Rejections in a second.
    std::optional<std::size_t> limit_;
    std::size_t probeStep_ = 1; ///< Requests by which the next probe exceeds the limit.
    std::optional<std::size_t> probe_; ///< Requests that the target holds if the probe that runs is accepted.
    TimePoint nextProbeAt_;
    Duration probeDelay_{};
    Duration rejectionTime_{};
    TimePoint decreasedAt_;
    TimePoint pausedUntil_;
    std::deque<TimePoint> rejectedAt_;
};

} // namespace Lovageloft
