#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Lovageloft
{

/// A queue of fixed capacity between two duties. A full queue rejects items instead of blocking: otherwise one slow duty would block all duties
/// that feed it, and callers would wait without a response. Thread-safe.
template <typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : slots_(capacity)
    {
    }

    /// Appends an item. Returns false and leaves the item unchanged if the ring is full or closed.
    bool tryPush(T &&item)
    {
        {
            const std::lock_guard lock(mutex_);
            if (isClosed_ || size_ == slots_.size()) {
                return false;
            }
            slots_[(head_ + size_) % slots_.size()].emplace(std::move(item));
            ++size_;
        }
        ready_.notify_one();
        return true;
    }

    /// Removes and returns the oldest item, waiting up to `timeout` for one. Returns nothing after the timeout, or at once if the ring is closed and
    /// empty.
    template <typename Rep, typename Period>
    std::optional<T> pop(std::chrono::duration<Rep, Period> timeout)
    {
        std::unique_lock lock(mutex_);
        ready_.wait_for(lock, timeout, [this] { return size_ > 0 || isClosed_; });
        if (size_ == 0) {
            return std::nullopt;
        }
        std::optional<T> item = std::move(slots_[head_]);
        slots_[head_].reset();
        head_ = (head_ + 1) % slots_.size();
        --size_;
        return item;
    }

    /// Rejects further items and wakes the reader. Items in the ring can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            isClosed_ = true;
        }
        ready_.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard lock(mutex_);
        return isClosed_;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return size_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable ready_;
    std::vector<std::optional<T>> slots_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    bool isClosed_ = false;
};

} // namespace Lovageloft
