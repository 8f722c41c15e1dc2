#pragma once

#include <optional>
#include <string_view>

#include "coordination/store.h"
#include "core/result_code.h"
#include "gateway/routing_table.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Where the records of operators and targets stand in the store and how they are written. A strategy that reads formats only.
class StoreRecords
{
public:
    virtual ~StoreRecords() = default;

    /// Everything that operators write stands under this prefix.
    virtual std::string_view operatorPrefix() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual bool isWeightsKey(std::string_view key) const = 0;
    virtual std::string_view targetPrefix() const = 0;

    virtual std::optional<RoutingTable> parseConfiguration(const StoreEntry &entry, Reason &reason) const = 0;

    /// Nothing for an entry that another writer left or that can't be read: it names no target to use.
    virtual std::optional<Target> parseTarget(const StoreEntry &entry, Reason &reason) const = 0;
    virtual std::optional<PublishedWeights> parseWeights(const StoreEntry &entry, Reason &reason) const = 0;
};

} // namespace Lovageloft
