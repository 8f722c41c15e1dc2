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

    /// Starts the thread. May be called once. stop() and join() must be called before the destruction.
    void start();

    /// Signals the thread to end.
    void stop();

    /// Waits until the thread has ended. This takes as long as its network calls in progress.
    void join();

    /// The same for at most `timeout`; returns whether the thread has ended. If not, it still uses this object.
    bool joinFor(Duration timeout);

protected:
    /// Body of the thread. Must return soon after `isStopped` becomes true.
    virtual void run() = 0;

    bool isStopped() const;

    /// Sleeps for the given duration, or until the duty is stopped.
    void sleepFor(Duration duration);

private:
    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    bool isStopped_ = false;
    bool hasEnded_ = false; ///< The thread has left run().
    std::thread thread_;
};

} // namespace Lovageloft
