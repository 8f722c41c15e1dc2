#include "coordination/duty_hosts.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr std::size_t minDutyHosts = 8;

} // namespace

std::vector<std::string> dutyHosts(const std::map<std::string, HostCapacity> &hosts)
{
    HostCapacity largest;
    for (const auto &[name, capacity] : hosts) {
        largest.cores = std::max(largest.cores, capacity.cores);
        largest.linkMegabitsPerSecond = std::max(largest.linkMegabitsPerSecond, capacity.linkMegabitsPerSecond);
    }
    std::vector<std::string> all;
    std::vector<std::string> large;
    for (const auto &[name, capacity] : hosts) {
        all.push_back(name);
        if (2 * capacity.cores >= largest.cores && 2 * capacity.linkMegabitsPerSecond >= largest.linkMegabitsPerSecond) {
            large.push_back(name);
        }
    }
    return large.size() >= minDutyHosts ? large : all;
}

} // namespace Lovageloft
