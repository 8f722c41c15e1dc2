#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "core/metrics.h"
#include "core/settings.h"
#include "drivers/engine_reports.h"
#include "servers/configuration_service.h"
#include "servers/dispatcher.h"

namespace Lovageloft
{

/// The duty that reads engines' load reports and cache events and hands them to the decide duty. A few threads share the
/// engines, so that one that is frozen holds up only its own group, and that for a fraction of a second.
class EngineObserver
{
public:
    EngineObserver(ConfigurationService &configuration, Dispatcher &dispatcher, Metrics &metrics);
    ~EngineObserver();
    EngineObserver(const EngineObserver &) = delete;
    EngineObserver &operator=(const EngineObserver &) = delete;

private:
    /// What one thread knows of an engine.
    struct Observed
    {
        std::string incarnation; ///< As the engine names it.
        std::uint64_t serial = 0; ///< The same as a number that grows with each start seen.
        std::uint64_t lastEvent = 0;
        bool hasNewEvents = true;
        TimePoint nextLook;
    };

    void run(std::size_t group);
    void look(const TargetConfiguration &engine, Observed &observed);
    bool readLoad(const TargetConfiguration &engine, Observed &observed);
    void readEvents(const TargetConfiguration &engine, Observed &observed);

    ConfigurationService &configuration_;
    Dispatcher &dispatcher_;
    Metrics &metrics_;
    std::atomic<bool> isStopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace Lovageloft
