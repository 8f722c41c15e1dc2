#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "coordination/store.h"

namespace Lovageloft
{

/// The latest changes under one prefix of the store, kept for other hosts that missed some of them. Limited to 1,024 entries
/// and 2 MiB of values; the oldest entries are evicted first.
class ChangeLog
{
public:
    /// Removes all entries; the next changes follow `revision`. To be called before the first append(): until then the log counts as complete
    /// from revision 0.
    void reset(std::int64_t revision);

    /// Appends the next change. Changes must be appended in the order of their revisions; several may have the same one.
    void append(const StoreEntry &entry);

    /// Appends the changes found by comparing the lists of all keys at the revisions `after` and `upTo`: at most one for each key, in the order
    /// of their revisions. Keys that were created and deleted in between are not included.
    void appendCoalesced(std::int64_t after, std::int64_t upTo, std::span<const StoreEntry> entries);

    /// Returns the last change of each key that changed after `revision`, deletions included, ordered by revision. std::nullopt if the log
    /// doesn't reach back that far or if `revision` lies strictly within a coalesced range.
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
