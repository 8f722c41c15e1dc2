#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/store.h"

namespace Lovageloft
{

/// Times of a leadership lease.
struct LeaseOptions
{
    Duration timeToLive = std::chrono::seconds(10);
    Duration margin = std::chrono::seconds(2); ///< The holder stops this long before the store lets the lease lapse.
    Duration pollInterval = std::chrono::seconds(2); ///< Between looks at a key that another host holds.
    Duration retryDelay = std::chrono::seconds(2); ///< After a failed call.
    std::optional<Duration> settleTime = std::nullopt; ///< See LeaseHolder::settledAt; the lease's life and the margin if not set.
};

/// Tries to hold one key of the store under a lease, so that one host at a time does a duty. A step machine: each step
/// makes at most one call to the store. The key's revision is the fencing token; each new holder has a higher one.
///
/// What goes wrong without the deadline: a holder is paused, its lease lapses, another host takes over, and the first
/// wakes and goes on. So the holder counts its time from when it sent the last keep-alive, and asks right before each act.
class LeaseHolder
{
public:
    /// `holder` names the process and must differ from any other's, also an earlier one's on this host.
    LeaseHolder(Store &store, std::string_view key, std::string_view holder, LeaseOptions options = {});

    /// Does what is due. Calls before nextStep() do nothing.
    void step(TimePoint now);
    TimePoint nextStep() const;

    /// The key was seen to be gone: the next step is due now if this host holds nothing.
    void pollNow(TimePoint now);

    /// Whether the lease may be acted on at `now`.
    bool isHeld(TimePoint now) const;

    /// The fencing token of the present holding, 0 without one.
    std::int64_t token() const;

    /// From when on nothing that an earlier holder sent can still arrive, if messages take less than a lease's life:
    /// the acquisition plus the life of a lease and the margin. Where every call is known to have ended sooner, LeaseOptions::settleTime
    /// says so. After a change of the store's era the earlier holder may not have heard of it, so its lease is waited for in any case.
    TimePoint settledAt() const;

    /// Stops at once, and frees the key with the next step.
    void release(TimePoint now);

private:
    using Step = void (LeaseHolder::*)(TimePoint);

    void noteEra(TimePoint now);
    void poll(TimePoint now);
    void grant(TimePoint now);
    void create(TimePoint now);
    void readBack(TimePoint now);
    void keepAlive(TimePoint now);
    void remove(TimePoint now);
    void acquired(std::int64_t revision, TimePoint now);
    void lose(TimePoint now);
    void next(Step step, TimePoint time);
    std::string value() const;

    Store &store_;
    std::string key_;
    std::string holder_;
    LeaseOptions options_;
    Step next_ = &LeaseHolder::poll;
    TimePoint nextStep_;
    std::int64_t leaseId_ = 0;
    std::int64_t token_ = 0;
    std::int64_t removedToken_ = 0;
    TimePoint deadline_;
    TimePoint acquiredAt_;
    std::int64_t era_ = 0; ///< Last seen.
    TimePoint otherHolderUntil_; ///< Until when a holder of the era before may act.
};

} // namespace Lovageloft
