#pragma once

#include <cstdint>
#include <mutex>
#include <utility>

namespace Lovageloft::StandIns
{

/// The fault that the next requests to a stand-in meet, and for how many of them. Thread-safe.
template <typename Fault>
class FaultPlan
{
public:
    /// Replaces the plan: the next `times` requests meet `fault`.
    void set(Fault fault, std::int64_t times)
    {
        const std::lock_guard lock(mutex_);
        fault_ = std::move(fault);
        timesLeft_ = times;
    }

    /// The fault of the next request; a default-constructed one if none is planned.
    Fault nextFault()
    {
        const std::lock_guard lock(mutex_);
        if (timesLeft_ <= 0) {
            return {};
        }
        --timesLeft_;
        return fault_;
    }

private:
    std::mutex mutex_;
    Fault fault_;
    std::int64_t timesLeft_ = 0;
};

} // namespace Lovageloft::StandIns
