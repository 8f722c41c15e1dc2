#pragma once

#include <map>
#include <string>
#include <vector>

namespace Lovageloft
{

/// The capacity of a host, by which it is selected for duties besides serving its callers; 0 where it is not known.
struct HostCapacity
{
    double cores = 0;
    double linkMegabitsPerSecond = 0;

    bool operator==(const HostCapacity &) const = default;
};

/// Selects the hosts that perform duties for others, such as watching the store or keeping teams' tokens: those with at least half of the
/// largest number of cores and half of the largest link rate, if there are at least 8 of them, to tolerate the loss of some; else all hosts.
/// The names are in ascending order. On a host with an eighth of a core a duty would delay its callers.
std::vector<std::string> dutyHosts(const std::map<std::string, HostCapacity> &hosts);

} // namespace Lovageloft
