#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "coordination/store.h"

namespace Lovageloft
{

/// The latest changes under one prefix of the store, kept for other hosts that missed some of them. Limited in number of entries and in
/// bytes of values; the oldest entries are evicted first.
class ChangeLog
{
public:
    /// Removes all entries; the next changes follow `revision`.
    void reset(std::int64_t revision);

    /// Appends the next change. Several changes may have the same revision.
    void append(const StoreEntry &entry);

    /// Appends the changes after revision `after` up to `upTo`, as a comparison of two lists shows them: keys that were created and deleted
    /// in between are not included.
    void appendCoalesced(std::int64_t after, std::int64_t upTo, std::span<const StoreEntry> entries);

    /// Returns the last change of each key that changed after `revision`, ordered by revision. Empty if the log doesn't reach back that far
    /// or if `revision` lies within a coalesced range.
    std::optional<std::vector<StoreEntry>> since(std::int64_t revision) const;

private:
    struct CoalescedRange
    {
        std::int64_t after = 0;
        std::int64_t upTo = 0;
    };

    std::int64_t startRevision_ = 0; ///< All changes after this revision are in the log.
    std::size_t bytes_ = 0; ///< Size of all values.
    std::deque<CoalescedRange> coalescedRanges_; ///< Ordered by revision; none starts before startRevision_.
    std::deque<StoreEntry> entries_;
};

} // namespace Lovageloft
