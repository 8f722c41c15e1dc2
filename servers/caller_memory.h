#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>

#include "core/clock.h"

namespace Lovageloft
{

/// What memory of a caller is for.
enum class CallerMemoryUse : std::uint8_t
{
    Connection, ///< The connection itself, with the head of its request. Idle connections are ended for it.
    Body,
};

/// Bounds the memory that the connections and requests of all callers hold, over all threads.
class CallerMemory
{
public:
    /// Ends a connection that others need the memory of, and returns whether there was one. Its thread returns the memory a moment later.
    using Evict = std::function<bool(CallerMemoryUse)>;

    /// `totalBytes` is the memory for all connections; 0 for no limit.
    CallerMemory(std::size_t totalBytes, Evict evict);

    /// What one connection holds for one use; returned when this object goes.
    class Reservation
    {
    public:
        Reservation(CallerMemory &memory, CallerMemoryUse use);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// Makes it hold this many bytes, if it holds fewer. If they don't fit, other connections are ended, and this waits `maxWait` for their
        /// memory. Returns whether it holds them.
        bool growTo(std::size_t bytes);

        /// Returns what it holds beyond this many bytes.
        void shrinkTo(std::size_t bytes);

    private:
        CallerMemory &memory_;
        CallerMemoryUse use_;
        std::size_t bytes_ = 0;
    };

private:
    static constexpr Duration maxWait = std::chrono::milliseconds(500);

    bool acquire(std::size_t bytes, CallerMemoryUse use);
    void release(std::size_t bytes);

    std::size_t total_;
    Evict evict_;
    std::mutex mutex_;
    std::condition_variable released_;
    std::size_t held_ = 0; ///< Guarded by `mutex_`.
};

} // namespace Lovageloft
