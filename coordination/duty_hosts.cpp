#include "coordination/duty_hosts.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr std::size_t fewestDutyHosts = 8;

} // namespace

std::vector<std::string> dutyHosts(const std::map<std::string, HostCapacity> &hosts)
{
    HostCapacity most;
    for (const auto &[name, capacity] : hosts) {
        most.cores = std::max(most.cores, capacity.cores);
        most.linkMegabitsPerSecond = std::max(most.linkMegabitsPerSecond, capacity.linkMegabitsPerSecond);
    }
    std::vector<std::string> all;
    std::vector<std::string> large;
    for (const auto &[name, capacity] : hosts) {
        all.push_back(name);
        if (2 * capacity.cores >= most.cores && 2 * capacity.linkMegabitsPerSecond >= most.linkMegabitsPerSecond) {
            large.push_back(name);
        }
    }
    return large.size() >= fewestDutyHosts ? large : all;
}

} // namespace Lovageloft
