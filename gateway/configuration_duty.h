#pragma once

#include <optional>

#include "coordination/store.h"
#include "gateway/configuration_feed.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

/// Watches the operators' keys and passes each entry to the configuration feed.
class ConfigurationDuty final : public Duty
{
public:
    ConfigurationDuty(Store &store, const StoreRecords &records, ConfigurationFeed &feed);

private:
    void run() override;
    bool readAll();
    bool watchOnce();
    void noteStoreState(bool isReachable);
    ConfigurationFeed::ReadContext readContext(TimePoint now, Duration silence) const;

    Store &store_;
    const StoreRecords &records_;
    ConfigurationFeed &feed_;
    Backoff backoff_ = storeBackoff();
    std::int64_t watchRevision_ = 0; ///< Revision from which to watch; 0 to read the whole list first.
    bool isReachable_ = true;
    bool hasReadStore_ = false;
    std::optional<TimePoint> unwatchedSince_; ///< Since when changes may have been missed; not set while a watch works.
};

} // namespace Lovageloft
