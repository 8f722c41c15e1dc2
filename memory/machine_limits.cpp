#include "memory/machine_limits.h"

#include <algorithm>
#include <fstream>
#include <string>

#include <sys/resource.h>
#include <unistd.h>

namespace Lovageloft
{

namespace
{

/// The soft limit of a resource; 0 if there is none.
std::size_t softLimit(decltype(RLIMIT_NOFILE) resource)
{
    rlimit limit{};
    const bool isLimited = ::getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isLimited ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

std::size_t physicalMemory()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
}

/// 0 if the group has no limit or can't be read.
std::size_t controlGroupMemory()
{
    std::ifstream in("/sys/fs/cgroup/memory.max");
    std::size_t bytes = 0;
    return in >> bytes ? bytes : 0;
}

} // namespace

MachineLimits readMachineLimits()
{
    MachineLimits limits;
    limits.descriptors = softLimit(RLIMIT_NOFILE);
    for (const std::size_t bytes : {physicalMemory(), controlGroupMemory(), softLimit(RLIMIT_AS)}) {
        if (bytes != 0 && (limits.memoryBytes == 0 || bytes < limits.memoryBytes)) {
            limits.memoryBytes = bytes;
        }
    }
    return limits;
}

} // namespace Lovageloft
