#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "core/clock.h"

namespace Lovageloft
{

/// One thread that does one duty until it is stopped.
class Duty
{
public:
    Duty() = default;
    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;
    virtual ~Duty() = default;

    void start();

    /// Asks the thread to end; `join` waits for it, for a call to the store at longest.
    void stop();
    void join();

protected:
    virtual void run() = 0;

    bool isStopped() const;

    /// Sleeps, or less if the duty is stopped.
    void pause(Duration duration);

private:
    mutable std::mutex mutex_;
    std::condition_variable stopping_;
    bool isStopped_ = false;
    std::thread thread_;
};

} // namespace Lovageloft
