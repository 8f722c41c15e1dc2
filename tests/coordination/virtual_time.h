#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "core/clock.h"

namespace Lovageloft
{

/// A simulated clock. Time advances only from one scheduled action to the next; actions run in the order of their times.
class VirtualTime
{
public:
    explicit VirtualTime(Duration start)
        : now_(start)
    {
    }

    TimePoint now() const
    {
        return now_;
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++order_, std::move(action)});
    }

    /// Runs all actions that are due before `end`, and `check` after each.
    void runUntil(
        TimePoint end, const std::function<void()> &check = [] {})
    {
        while (!events_.empty() && events_.top().time < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
            check();
        }
        now_ = end;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    TimePoint now_;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace Lovageloft
