#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/duty_hosts.h"
#include "core/settings.h"

namespace Lovageloft
{

/// What a host's key in the store says of it.
struct HostRecord
{
    HostAddress address; ///< Where it takes datagrams.
    HostCapacity capacity;
    std::string dataCentre;
};

/// "ADDRESS:PORT CORES MEGABITS DATA-CENTRE", the two numbers in thousandths.
std::string hostRecordText(const HostRecord &record);

/// Nothing if there is no address; a capacity that is missing or can't be read is 0, a data centre that is missing empty.
std::optional<HostRecord> parseHostRecord(std::string_view text);

/// By the same names.
std::map<std::string, HostCapacity> capacitiesOf(const std::map<std::string, HostRecord> &hosts);

} // namespace Lovageloft
