#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace Lovageloft
{

/// The names of the hosts of which a majority is required, to bring an entry into force or to confirm that there is no newer one. Until a
/// change of the list is in force, some hosts use the previous list and some the new one, so that a majority of both lists is required.
struct HostLists
{
    std::vector<std::string> current;
    std::vector<std::string> previous; ///< Empty once the last change is in force.

    bool operator==(const HostLists &) const = default;
};

/// The smallest majority of `count` hosts: more than half.
constexpr std::size_t majorityOf(std::size_t count)
{
    return count / 2 + 1;
}

/// A host's answer to the question which version of the configuration it holds.
struct PeerVersionReport
{
    std::string host;
    std::uint64_t incarnation = 0; ///< Higher after each restart; 0 in a relayed report.
    std::int64_t versionHeld = 0; ///< Sequence of the last log entry that the host replayed.
    bool isCaughtUp = false; ///< False after a restart until the host has caught up from the store or from a majority.
};

/// Returns the latest time T such that in each list a majority of the hosts has a time of T or later. `timeOf` returns the time of a host, or
/// nothing for a host without one. Empty if too few hosts of a list have a time, or if the current list is empty; an empty previous list is
/// ignored.
inline std::optional<TimePoint> majorityTime(const HostLists &lists, const std::function<std::optional<TimePoint>(const std::string &)> &timeOf)
{
    if (lists.current.empty()) {
        return std::nullopt;
    }
    TimePoint earliest = TimePoint::max();
    for (const std::vector<std::string> *list : {&lists.current, &lists.previous}) {
        if (list->empty()) {
            continue;
        }
        std::vector<TimePoint> times;
        for (const std::string &host : *list) {
            if (const auto time = timeOf(host)) {
                times.push_back(*time);
            }
        }
        const std::size_t needed = majorityOf(list->size());
        if (times.size() < needed) {
            return std::nullopt;
        }
        std::sort(times.begin(), times.end(), std::greater<>());
        earliest = std::min(earliest, times[needed - 1]);
    }
    return earliest;
}

} // namespace Lovageloft
