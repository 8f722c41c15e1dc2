#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "coordination/rollout_record.h"
#include "coordination/store.h"
#include "gateway/duty.h"
#include "gateway/store_records.h"

namespace Lovageloft
{

/// Writes the records of rollouts to the store, and what operators are told of them. A record replaces only one of a lower position. Before a
/// completed rollout is recorded, its version is recorded as the one that serves.
class RolloutDuty final : public Duty
{
public:
    struct Options
    {
        std::string recordsPrefix; ///< Of the keys that hold a RolloutRecord; the rest of such a key is the service's name.
        std::string versionsPrefix; ///< Of the keys that hold the serving version of a service.
        std::function<TimePoint()> leaseUntil; ///< Until when this host may act as leader; nothing is written after it.

        /// Called on the duty's thread with a record that the store holds.
        std::function<void(const std::string &service, const RolloutRecord &record)> onRecord;
    };

    RolloutDuty(Store &store, const StoreRecords &format, Options options);

    /// Queues a record to be written in place of an earlier one that has not been written yet. Thread-safe.
    void write(const std::string &service, const RolloutRecord &record);

private:
    void run() override;
    bool writeAll(const std::string &service, const RolloutRecord &record);
    StoreStatus writeRecord(const std::string &service, const RolloutRecord &record);
    bool replace(const std::string &key, const std::string &value);

    Store &store_;
    const StoreRecords &format_;
    Options options_;
    std::mutex mutex_;
    std::map<std::string, RolloutRecord> pending_; ///< By service; guarded by `mutex_`.
};

} // namespace Lovageloft
