#include "servers/caller_memory.h"

#include <utility>

namespace Lovageloft
{

CallerMemory::CallerMemory(std::size_t totalBytes, Evict evict)
    : total_(totalBytes)
    , evict_(std::move(evict))
{
}

bool CallerMemory::acquire(std::size_t bytes, CallerMemoryUse use)
{
    std::unique_lock lock(mutex_);
    const auto fits = [this, bytes] { return total_ == 0 || held_ + bytes <= total_; };
    const TimePoint deadline = BootClock::now() + maxWait;
    while (!fits() && BootClock::now() < deadline && evict_(use)) {
        constexpr Duration evictInterval = std::chrono::milliseconds(50);
        released_.wait_for(lock, evictInterval, fits);
    }
    if (!fits()) {
        return false;
    }
    held_ += bytes;
    return true;
}

void CallerMemory::release(std::size_t bytes)
{
    {
        const std::lock_guard lock(mutex_);
        held_ -= bytes;
    }
    released_.notify_all();
}

CallerMemory::Reservation::Reservation(CallerMemory &memory, CallerMemoryUse use)
    : memory_(memory)
    , use_(use)
{
}

CallerMemory::Reservation::~Reservation()
{
    memory_.release(bytes_);
}

bool CallerMemory::Reservation::growTo(std::size_t bytes)
{
    if (bytes <= bytes_) {
        return true;
    }
    if (!memory_.acquire(bytes - bytes_, use_)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void CallerMemory::Reservation::shrinkTo(std::size_t bytes)
{
    if (bytes < bytes_) {
        memory_.release(std::exchange(bytes_, bytes) - bytes);
    }
}

} // namespace Lovageloft
