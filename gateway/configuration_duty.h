#pragma once

#include <optional>

#include "coordination/store.h"
#include "gateway/configuration_feed.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"

namespace Lovageloft
{

/// Follows what operators write, by a watch.
class ConfigurationDuty final : public Duty
{
public:
    ConfigurationDuty(Store &store, const StoreRecords &records, ConfigurationFeed &feed);

private:
    void run() override;
    bool readAll();
    bool watchOnce();
    void noteStore(bool isReachable);
    ConfigurationFeed::Hearing hearing(TimePoint now, Duration silence) const;

    Store &store_;
    const StoreRecords &records_;
    ConfigurationFeed &feed_;
    Backoff backoff_ = storeBackoff();
    std::int64_t watchFrom_ = 0;
    bool isReachable_ = true;
    bool hasRead_ = false;
    std::optional<TimePoint> deafSince_; ///< Since when no change would have been heard of.
};

} // namespace Lovageloft
