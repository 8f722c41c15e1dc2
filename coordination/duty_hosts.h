#pragma once

#include <map>
#include <string>
#include <vector>

namespace Lovageloft
{

/// What a host has for duties beside its callers; 0 if it is not known.
struct HostCapacity
{
    double cores = 0;
    double linkMegabitsPerSecond = 0; ///< A second.

    bool operator==(const HostCapacity &) const = default;
};

/// The hosts that take duties for others, such as watching the store or keeping teams' tokens: those with at least half of the most that any
/// has of each, if there are enough of them for the loss of some; else all. On a host of an eighth of a core a duty delays its callers.
std::vector<std::string> dutyHosts(const std::map<std::string, HostCapacity> &hosts);

} // namespace Lovageloft
