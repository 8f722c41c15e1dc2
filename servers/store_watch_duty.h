#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "coordination/configuration_log_store.h"
#include "coordination/store.h"
#include "core/metrics.h"
#include "servers/configuration_service.h"

namespace Lovageloft
{

/// The store watch duty: one thread that keeps a replica of the log next to the store, hands what is new to the configuration
/// service, and confirms its freshness. Costs the store one waiting watch, and one read in each third of the freshness window.
class StoreWatchDuty
{
public:
    StoreWatchDuty(const Settings &settings, Store &store, ConfigurationService &configuration, Metrics &metrics);
    ~StoreWatchDuty();
    StoreWatchDuty(const StoreWatchDuty &) = delete;
    StoreWatchDuty &operator=(const StoreWatchDuty &) = delete;

private:
    void run();
    bool catchUp();
    void watch();
    void shareInForce();
    void pause(Duration duration) const;

    Duration period_;
    Store &store_;
    ConfigurationService &configuration_;
    Metrics &metrics_;
    ConfigurationLogStore logStore_;
    ConfigurationLog replica_;
    std::string watchPrefix_;
    std::int64_t inForceShared_ = 0; ///< The last entry that the store is known to hold as in force.
    std::int64_t revision_ = 0; ///< Where the next watch goes on; 0 while not known.
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace Lovageloft
