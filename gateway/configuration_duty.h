#pragma once

#include <functional>
#include <memory>

#include "coordination/store.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"
#include "gateway/store_records.h"

namespace Lovageloft
{

class Gateway;

/// Follows what operators write and proves again and again that the configuration in force is the newest.
///
/// A watch that stays silent proves nothing: while the store drops its history, watches hear nothing for a while though changes are
/// made, and a host that trusted the silence would serve withdrawn keys. So the newest revision is asked for by its own call.
/// An age counts from the sending of the call that proved it, on the clock that goes on while the machine is suspended.
class ConfigurationDuty final : public Duty
{
public:
    /// Hear of what operators wrote, on the duty's thread.
    struct Listeners
    {
        std::function<void(const std::shared_ptr<const RoutingTable> &, TimePoint provenAt)> onConfiguration;
        std::function<void(const NamedWeights &)> onWeights;
    };

    /// `window`: time within which a change must be in force.
    ConfigurationDuty(Store &store, const StoreRecords &records, Gateway &gateway, Duration window, Listeners listeners);

private:
    void run() override;
    bool readAll();
    bool watchOnce();
    bool confirm();
    void take(const StoreEntry &entry, TimePoint provenAt);
    void takeConfiguration(const StoreEntry &entry, TimePoint provenAt);
    void noteStore(bool isReachable);

    Store &store_;
    const StoreRecords &records_;
    Gateway &gateway_;
    Duration window_;
    Listeners listeners_;
    StoreBackoff backoff_;
    std::int64_t configurationRevision_ = 0;
    std::int64_t watchFrom_ = 0;
    TimePoint provenAt_;
    bool isReachable_ = true;
};

} // namespace Lovageloft
