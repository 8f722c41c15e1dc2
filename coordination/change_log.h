#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "coordination/store.h"

namespace Lovageloft
{

/// The latest changes under one prefix of the store, kept so that another host that missed some can be told of them. Bounded in entries and
/// in bytes of values; the oldest go first.
class ChangeLog
{
public:
    /// Forgets all; what follows continues this revision.
    void reset(std::int64_t revision);

    /// The next change. Several may have the same revision.
    void append(const StoreEntry &entry);

    /// All changes after one revision and up to another, as comparing two lists shows them: what came and went in between is not among them.
    void appendCoalesced(std::int64_t after, std::int64_t upTo, std::span<const StoreEntry> entries);

    /// For each key that changed after `revision` its last change, in the order of their revisions; nothing if the log doesn't reach back
    /// that far, or if the revision lies within a leap.
    std::optional<std::vector<StoreEntry>> since(std::int64_t revision) const;

private:
    struct Leap
    {
        std::int64_t after = 0;
        std::int64_t upTo = 0;
    };

    std::int64_t begin_ = 0; ///< All changes after this revision are held.
    std::size_t bytes_ = 0; ///< Of all values.
    std::deque<Leap> leaps_; ///< In the order of their revisions; none begins before begin_.
    std::deque<StoreEntry> entries_;
};

} // namespace Lovageloft
