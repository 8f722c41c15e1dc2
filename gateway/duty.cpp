#include "gateway/duty.h"

namespace Lovageloft
{

void Duty::start()
{
    thread_ = std::thread([this] { run(); });
}

void Duty::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopped_ = true;
    }
    stopping_.notify_all();
}

void Duty::join()
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool Duty::isStopped() const
{
    const std::lock_guard lock(mutex_);
    return isStopped_;
}

void Duty::sleepFor(Duration duration)
{
    std::unique_lock lock(mutex_);
    stopping_.wait_for(lock, duration, [this] { return isStopped_; });
}

} // namespace Lovageloft
