#pragma once

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

    Store &store_;
    const StoreRecords &records_;
    ConfigurationFeed &feed_;
    StoreBackoff backoff_;
    std::int64_t watchFrom_ = 0;
    bool isReachable_ = true;
    bool hasRead_ = false;
};

} // namespace Lovageloft
