#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/store.h"

namespace Lovageloft
{

/// Timing of a leadership lease.
struct LeaseOptions
{
    Duration timeToLive = std::chrono::seconds(10);
    Duration margin = std::chrono::seconds(2); ///< The holder stops acting this long before the lease expires in the store.
    Duration pollInterval = std::chrono::seconds(2); ///< Between reads of a key that another host holds.
    Duration retryDelay = std::chrono::seconds(2); ///< After a failed call.
    std::optional<Duration> settleTime = std::nullopt; ///< See LeaseHolder::settledAt; if not set, the time to live and the margin.
};

/// Acquires and holds one key of the store under a lease, so that one host at a time performs a duty. A state machine: each step makes at
/// most one call to the store. The key's revision is the fencing token; each new holder gets a higher one.
///
/// The holder stops acting at a deadline, which lies LeaseOptions::margin before the expiry of the lease and counts from when the last
/// keep-alive was sent. The deadline guards against a holder that is paused until its lease has expired and another host has taken over, and
/// that then continues to act. The holder therefore checks isHeld() right before each action.
class LeaseHolder
{
public:
    /// `holder` identifies the process and must differ from that of any other process, including earlier ones on this host.
    LeaseHolder(Store &store, std::string_view key, std::string_view holder, LeaseOptions options = {});

    /// Performs the next step if it is due. Makes no call to the store before nextStep().
    void step(TimePoint now);
    TimePoint nextStep() const;

    /// To be called when the key was seen to be deleted: the next read of the key is due now, if this host is polling it.
    void pollNow(TimePoint now);

    /// Whether this host may act under the lease at `now`.
    bool isHeld(TimePoint now) const;

    /// Until when this host may act under the lease unless it is renewed; in the past if it holds none.
    TimePoint heldUntil() const;

    /// The fencing token of the last acquired lease; 0 before the first one, after release(), and once step() has noticed a loss. It is no proof
    /// that the lease is still held: call isHeld() before each action.
    std::int64_t token() const;

    /// The time after which nothing that an earlier holder sent can still arrive: the time of acquisition plus LeaseOptions::settleTime. By
    /// default that is the time to live plus the margin, which is enough if messages take less than a lease's time to live; a shorter time is
    /// set where every call is known to end sooner. After a change of the store's era the earlier holder may not have noticed the change, so
    /// the expiry of its lease is awaited in any case.
    TimePoint settledAt() const;

    /// Stops acting at once, and deletes the key in the next step; a failed deletion is not repeated. After LeaseOptions::pollInterval this host
    /// tries to acquire the key again. Does nothing if no lease is held, and does not stop an acquisition in progress.
    void release(TimePoint now);

private:
    using Step = void (LeaseHolder::*)(TimePoint);

    void checkEra(TimePoint now);
    void pollKey(TimePoint now);
    void requestLease(TimePoint now);
    void createKey(TimePoint now);
    void readBack(TimePoint now);
    void keepAlive(TimePoint now);
    void deleteKey(TimePoint now);
    void onAcquired(std::int64_t revision, TimePoint now);
    void onLost(TimePoint now);
    void schedule(Step step, TimePoint time);
    std::string keyValue() const;

    Store &store_;
    std::string key_;
    std::string holder_;
    LeaseOptions options_;
    Step step_ = &LeaseHolder::pollKey;
    TimePoint nextStep_;
    std::int64_t leaseId_ = 0;
    std::int64_t token_ = 0;
    std::int64_t releasedToken_ = 0;
    TimePoint deadline_;
    TimePoint acquiredAt_;
    std::int64_t lastEra_ = 0;
    TimePoint previousEraHolderUntil_; ///< Until when a holder from the previous era may act.
};

} // namespace Lovageloft
