#include "coordination/change_log.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Lovageloft
{

namespace
{

/// Limits of the log. A host that missed more changes reads the complete list.
constexpr std::size_t maxEntries = 1'024;
constexpr std::size_t maxBytes = std::size_t{2} << 20U;

} // namespace

void ChangeLog::reset(std::int64_t revision)
{
    startRevision_ = revision;
    bytes_ = 0;
    entries_.clear();
    coalescedRanges_.clear();
}

void ChangeLog::append(const StoreEntry &entry)
{
    bytes_ += entry.value.size();
    entries_.push_back(entry);
    while (entries_.size() > maxEntries || bytes_ > maxBytes) {
        startRevision_ = std::max(startRevision_, entries_.front().revision);
        bytes_ -= entries_.front().value.size();
        entries_.pop_front();
    }
    // If the log starts within a coalesced range, changes that the range left out are missing.
    while (!coalescedRanges_.empty() && coalescedRanges_.front().after < startRevision_) {
        startRevision_ = std::max(startRevision_, coalescedRanges_.front().upTo);
        coalescedRanges_.pop_front();
    }
}

void ChangeLog::appendCoalesced(std::int64_t after, std::int64_t upTo, std::span<const StoreEntry> entries)
{
    coalescedRanges_.push_back({after, upTo});
    for (const StoreEntry &entry : entries) {
        append(entry);
    }
}

std::optional<std::vector<StoreEntry>> ChangeLog::since(std::int64_t revision) const
{
    const auto isWithin = [revision](const CoalescedRange &range) { return range.after < revision && revision < range.upTo; };
    if (revision < startRevision_ || std::any_of(coalescedRanges_.begin(), coalescedRanges_.end(), isWithin)) {
        return std::nullopt;
    }
    std::vector<StoreEntry> changes;
    std::set<std::string_view> keys;
    for (auto entry = entries_.rbegin(); entry != entries_.rend() && entry->revision > revision; ++entry) {
        if (keys.insert(entry->key).second) {
            changes.push_back(*entry);
        }
    }
    std::reverse(changes.begin(), changes.end());
    return changes;
}

} // namespace Lovageloft
