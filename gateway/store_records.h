#pragma once

#include <optional>
#include <string_view>

#include "coordination/rollout_record.h"
#include "coordination/serving_versions.h"
#include "coordination/store.h"
#include "core/result_code.h"
#include "gateway/routing_table.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Keys and formats of the records that operators and targets write to the store. Implementations only parse, they make no decisions.
class StoreRecords
{
public:
    virtual ~StoreRecords() = default;

    /// Prefix of all keys that operators write.
    virtual std::string_view operatorPrefix() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual bool isWeightsKey(std::string_view key) const = 0;
    virtual std::string_view targetPrefix() const = 0;

    /// Prefix of the keys that hold rollout orders; the rest of such a key is the service's name.
    virtual std::string_view rolloutPrefix() const = 0;

    /// This and the following functions return nothing and set `reason` if the entry is invalid.
    virtual std::optional<RoutingTable> parseConfiguration(const StoreEntry &entry, Reason &reason) const = 0;

    /// Also returns nothing for an entry of another writer; such an entry is not a usable target.
    virtual std::optional<Target> parseTarget(const StoreEntry &entry, Reason &reason) const = 0;
    /// Sets only the model and version of the weights.
    virtual std::optional<PublishedWeights> parseWeights(const StoreEntry &entry, Reason &reason) const = 0;
    virtual std::optional<RolloutOrder> parseRollout(const StoreEntry &entry, Reason &reason) const = 0;

    /// Key and text of the status of a service's rollout, for operators.
    virtual std::string rolloutStatusKey(std::string_view service) const = 0;
    virtual std::string rolloutStatusText(const RolloutRecord &record) const = 0;
};

} // namespace Lovageloft
