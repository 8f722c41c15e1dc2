#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/store.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"
#include "gateway/store_records.h"

namespace Lovageloft
{

/// Follows the entries that targets write of themselves.
///
/// While the store is away entries may lapse though their targets live. What goes wrong without a grace: the store returns with an
/// empty list, and every host stops serving though all targets are well. So entries that are missing after an outage stay for a while;
/// what is missing then is gone.
class TargetDuty final : public Duty
{
public:
    /// Hears of each new list, on the duty's thread.
    using Listener = std::function<void(const std::shared_ptr<const TargetMap> &)>;

    TargetDuty(Store &store, const StoreRecords &records, Listener listener);

private:
    void run() override;
    bool readAll();
    bool watchOnce();
    bool isOtherEra(std::int64_t position) const;
    std::string targetOf(const StoreEntry &entry) const;
    void take(const StoreEntry &entry, TargetMap &targets) const;
    void publish(TargetMap &&targets);
    void dropMissing();

    Store &store_;
    const StoreRecords &records_;
    Listener listener_;
    Backoff backoff_ = storeBackoff();
    TargetMap targets_;
    std::map<std::string, TimePoint> missing_; ///< Entries that were not there after an outage, and when each is taken as gone.
    std::int64_t watchFrom_ = 0;
    std::int64_t reached_ = 0; ///< Position up to which changes were heard of.
    std::optional<TimePoint> lostAt_;
};

} // namespace Lovageloft
