#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "core/clock.h"

namespace Lovageloft
{

/// A background task with its own thread, which runs until it is stopped.
class Duty
{
public:
    Duty() = default;
    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;
    virtual ~Duty() = default;

    void start();

    /// Signals the thread to end. `join` waits until it has, at most for the duration of one call to the store.
    void stop();
    void join();

protected:
    /// Body of the thread. Must return soon after `isStopped` becomes true.
    virtual void run() = 0;

    bool isStopped() const;

    /// Sleeps for the given duration, or until the duty is stopped.
    void pause(Duration duration);

private:
    mutable std::mutex mutex_;
    std::condition_variable stopping_;
    bool isStopped_ = false;
    std::thread thread_;
};

} // namespace Lovageloft
