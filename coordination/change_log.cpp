#include "coordination/change_log.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Lovageloft
{

namespace
{

/// A host that missed more than this reads the list.
constexpr std::size_t mostEntries = 1'024;
constexpr std::size_t mostBytes = std::size_t{2} << 20U;

} // namespace

void ChangeLog::reset(std::int64_t revision)
{
    begin_ = revision;
    bytes_ = 0;
    entries_.clear();
    leaps_.clear();
}

void ChangeLog::append(const StoreEntry &entry)
{
    bytes_ += entry.value.size();
    entries_.push_back(entry);
    while (entries_.size() > mostEntries || bytes_ > mostBytes) {
        begin_ = std::max(begin_, entries_.front().revision);
        bytes_ -= entries_.front().value.size();
        entries_.pop_front();
    }
    // A log that begins within a leap lacks what that left out.
    while (!leaps_.empty() && leaps_.front().after < begin_) {
        begin_ = std::max(begin_, leaps_.front().upTo);
        leaps_.pop_front();
    }
}

void ChangeLog::appendCoalesced(std::int64_t after, std::int64_t upTo, std::span<const StoreEntry> entries)
{
    leaps_.push_back({after, upTo});
    for (const StoreEntry &entry : entries) {
        append(entry);
    }
}

std::optional<std::vector<StoreEntry>> ChangeLog::since(std::int64_t revision) const
{
    const auto isWithin = [revision](const Leap &leap) { return leap.after < revision && revision < leap.upTo; };
    if (revision < begin_ || std::any_of(leaps_.begin(), leaps_.end(), isWithin)) {
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
