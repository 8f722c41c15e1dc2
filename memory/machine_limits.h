#pragma once

#include <cstddef>

namespace Lovageloft
{

/// What the machine allows this process.
struct MachineLimits
{
    std::size_t memoryBytes = 0; ///< The smaller of the machine's memory and the control group's limit; 0 if neither can be read.
    std::size_t descriptors = 0; ///< The soft limit of this process; 0 if there is none.
};

/// Reads them from the kernel: RLIMIT_NOFILE, RLIMIT_AS, the physical memory, and `memory.max` of the control group (version 2).
MachineLimits readMachineLimits();

} // namespace Lovageloft
