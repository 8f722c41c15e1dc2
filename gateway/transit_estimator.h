#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/clock.h"

namespace Lovageloft
{

/// Estimates for how long messages of other processes have waited on their way: in a queue of the network, unread in a socket, or at a process that stood
/// still. The clocks of two processes differ by an unknown constant, so only what exceeds the fastest message is known. Not thread-safe; reads no clock.
class TransitEstimator
{
public:
    /// A message that the process with this random id sent when its clock showed `sentAt` has been read. Returns by how much longer than the
    /// fastest message of that process it was underway; zero for the first one.
    Duration onMessage(std::uint64_t process, TimePoint sentAt, TimePoint readAt);

private:
    struct Sender
    {
        Duration smallestDifference{}; ///< Between both clocks, of the fastest message.
        TimePoint lastReadAt;
    };

    void forgetOldest();

    std::unordered_map<std::uint64_t, Sender> senders_; ///< By process.
};

} // namespace Lovageloft
