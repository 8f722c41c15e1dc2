#pragma once

#include <functional>
#include <optional>

#include "coordination/store.h"
#include "gateway/configuration_feed.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

/// Proves again and again that the configuration in force is the newest.
///
/// A watch that stays silent proves nothing: while the store drops its history, watches hear nothing for a while though changes are
/// made, and a host that trusted the silence would serve withdrawn keys. So the newest revision is asked for by its own call.
/// An age counts from the sending of the call that proved it, on the clock that goes on while the machine is suspended.
class ProofDuty final : public Duty
{
public:
    using Now = std::function<TimePoint()>;

    /// `window`: time within which a change must be in force.
    ProofDuty(Store &store, const StoreRecords &records, ConfigurationFeed &feed, Duration window, Now now = &BootClock::now);

    /// One attempt, as the duty makes them again and again; false if nothing was learnt.
    bool prove();

private:
    void run() override;

    Store &store_;
    const StoreRecords &records_;
    ConfigurationFeed &feed_;
    Duration window_;
    Now now_;
    std::optional<TimePoint> outdatedSince_; ///< When another host was first found to have a newer configuration.
    Backoff backoff_ = storeBackoff();
};

} // namespace Lovageloft
