#include "decision/leave_table.h"

#include <algorithm>
#include <iterator>

namespace Lovageloft
{

namespace
{

/// Longer than a target serves on after it said that it leaves, and than a store is restored from an older copy.
constexpr Duration retention = std::chrono::minutes(10);

} // namespace

bool LeaveTable::add(const Leave &leave)
{
    const auto [known, isNew] = leaves_.try_emplace(leave.target, leave);
    if (isNew) {
        return true;
    }
    if (leave.incarnation > known->second.incarnation) {
        known->second = leave;
        return true;
    }
    if (leave.incarnation == known->second.incarnation) {
        const TimePoint heardAt = std::max(known->second.heardAt, leave.heardAt);
        known->second = leave.saidAt < known->second.saidAt ? leave : known->second;
        known->second.heardAt = heardAt;
    }
    return false;
}

bool LeaveTable::isLeaving(std::string_view target, std::int64_t incarnation) const
{
    const Leave *leave = find(target);
    return leave != nullptr && incarnation <= leave->incarnation;
}

const LeaveTable::Leave *LeaveTable::find(std::string_view target) const
{
    const auto found = leaves_.find(target);
    return found != leaves_.end() ? &found->second : nullptr;
}

void LeaveTable::forgetOld(TimePoint now)
{
    std::erase_if(leaves_, [now](const auto &entry) { return now - entry.second.heardAt > retention; });
}

std::vector<LeaveTable::Leave> LeaveTable::all() const
{
    std::vector<Leave> leaves;
    std::transform(leaves_.begin(), leaves_.end(), std::back_inserter(leaves), [](const auto &entry) { return entry.second; });
    return leaves;
}

} // namespace Lovageloft
