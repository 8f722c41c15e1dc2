#pragma once

#include <functional>
#include <optional>

#include "coordination/store.h"
#include "gateway/configuration_feed.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

/// Periodically confirms that the configuration in force is the newest.
///
/// A watch without events proves nothing: while the store compacts its history, watches miss changes for a while, and a host that relied on
/// them would accept revoked keys. So the newest revision is requested by a separate call. The age of a proof counts from the time when
/// that call was sent, on the clock that continues while the machine is suspended.
class ProofDuty final : public Duty
{
public:
    using Now = std::function<TimePoint()>;

    /// `window`: time within which a configuration change must be in force.
    ProofDuty(Store &store, const StoreRecords &records, ConfigurationFeed &feed, Duration window, Now now = &BootClock::now);

    /// Makes one attempt. Returns whether it confirmed the configuration or read another entry, even one that cannot be parsed. Returns false
    /// before the first configuration. The duty calls this periodically.
    bool prove();

private:
    void run() override;

    Store &store_;
    const StoreRecords &records_;
    ConfigurationFeed &feed_;
    Duration window_;
    Now now_;
    std::optional<TimePoint> outdatedSince_; ///< When a newer configuration was first reported; not set if none is pending.
    Backoff backoff_ = storeBackoff();
};

} // namespace Lovageloft
