#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/duty_hosts.h"
#include "core/settings.h"

namespace Lovageloft
{

/// The value of a host's key in the store.
struct HostRecord
{
    HostAddress address; ///< Where the host receives datagrams.
    HostCapacity capacity;
    std::string dataCentre;
};

/// Formats a record as "ADDRESS:PORT CORES MEGABITS DATA-CENTRE", with both numbers in thousandths.
std::string hostRecordText(const HostRecord &record);

/// Parses the text of a record. Returns nothing if the address is missing or invalid. A missing or invalid capacity is read as 0, a missing
/// data centre as empty.
std::optional<HostRecord> parseHostRecord(std::string_view text);

/// The capacities of the hosts, by host name.
std::map<std::string, HostCapacity> capacitiesOf(const std::map<std::string, HostRecord> &hosts);

} // namespace Lovageloft
