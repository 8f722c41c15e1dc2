#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

#include "core/clock.h"

namespace Lovageloft
{

/// Bounds the memory that the requests of all callers hold, over all threads.
class CallerMemory
{
public:
    /// Ends a request whose body does not end, and returns whether there was one. Its thread returns the memory a moment later.
    using Evict = std::function<bool()>;

    /// `totalBytes` is the memory for all requests; 0 for no limit.
    CallerMemory(std::size_t totalBytes, Evict evict);

    /// What one request holds; returned when this object goes.
    class Reservation
    {
    public:
        explicit Reservation(CallerMemory &memory);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// Makes the request hold this many bytes, if it holds fewer. If they don't fit, other requests whose bodies don't end are ended, and this waits
        /// `maxWait` for their memory. Returns whether the request holds them.
        bool growTo(std::size_t bytes);

    private:
        CallerMemory &memory_;
        std::size_t bytes_ = 0;
    };

private:
    static constexpr Duration maxWait = std::chrono::milliseconds(500);

    bool acquire(std::size_t bytes);
    void release(std::size_t bytes);

    std::size_t total_;
    Evict evict_;
    std::mutex mutex_;
    std::condition_variable released_;
    std::size_t held_ = 0; ///< Guarded by `mutex_`.
};

} // namespace Lovageloft
