#include "gateway/duty.h"

namespace Lovageloft
{

void Duty::start()
{
    thread_ = std::thread([this] {
        run();
        const std::lock_guard lock(mutex_);
        hasEnded_ = true;
        stateChanged_.notify_all();
    });
}

void Duty::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopped_ = true;
    }
    stateChanged_.notify_all();
}

void Duty::join()
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool Duty::joinFor(Duration timeout)
{
    {
        std::unique_lock lock(mutex_);
        if (thread_.joinable() && !stateChanged_.wait_for(lock, timeout, [this] { return hasEnded_; })) {
            return false;
        }
    }
    join();
    return true;
}

bool Duty::isStopped() const
{
    const std::lock_guard lock(mutex_);
    return isStopped_;
}

void Duty::sleepFor(Duration duration)
{
    std::unique_lock lock(mutex_);
    stateChanged_.wait_for(lock, duration, [this] { return isStopped_; });
}

} // namespace Lovageloft
