#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/store.h"
#include "decision/leave_table.h"
#include "gateway/duty.h"
#include "gateway/store_backoff.h"
#include "gateway/store_records.h"

namespace Lovageloft
{

/// Watches the store entries of the targets and publishes each new list.
///
/// During a store outage, entries may expire while their targets keep running. Without a grace period, the store would return with an
/// empty list and every host would stop serving although all targets are healthy. So entries that are missing after an outage are kept
/// for a grace period, and removed if they have not been written again by then.
class TargetDuty final : public Duty
{
public:
    /// Called on the duty's thread with each new list.
    /// All targets as of a revision of the store.
    using Listener = std::function<void(const std::shared_ptr<const TargetMap> &, std::int64_t revision)>;

    TargetDuty(Store &store, const StoreRecords &records, Listener listener);

private:
    void run() override;
    bool readAll();
    bool watchOnce();
    bool isDifferentEra(std::int64_t position) const;
    std::string targetId(const StoreEntry &entry) const;
    void applyEntry(const StoreEntry &entry, TargetMap &targets);
    void keepUnlisted(std::string_view id, TargetMap &targets, TimePoint returnedAt);
    void publish(TargetMap &&targets);
    void removeExpired();

    Store &store_;
    const StoreRecords &records_;
    Listener listener_;
    Backoff backoff_ = storeBackoff();
    TargetMap targets_;
    LeaveTable leaves_; ///< What the entries have said, also those that are gone.
    std::map<std::string, TimePoint> missing_; ///< Targets whose entries were missing after an outage, and when each is removed.
    std::int64_t watchRevision_ = 0; ///< Revision from which to watch; 0 to read the whole list first.
    std::int64_t lastRevision_ = 0; ///< Revision up to which changes have been seen; 0 before the first list.
    std::optional<TimePoint> storeLostAt_;
};

} // namespace Lovageloft
