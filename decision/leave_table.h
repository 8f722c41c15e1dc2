#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace Lovageloft
{

/// Remembers which targets have said that they leave.
///
/// A leave is final for an incarnation and all before it, whatever is heard later, out of order or from an older copy of the store. It is remembered
/// for ten minutes after it was last heard, also while the target is not listed. Not thread-safe; reads no clock.
class LeaveTable
{
public:
    struct Leave
    {
        std::string target;
        std::int64_t incarnation = 0; ///< As in the target's entry.
        TimePoint saidAt; ///< When any host first heard it.
        TimePoint heardAt; ///< When this host last heard it.
        std::string heardBy; ///< The host that heard it first.
    };

    /// Adds a leave, or updates when it was last heard. Returns whether it is new.
    bool add(const Leave &leave);

    /// Whether this incarnation of the target leaves, or has left.
    bool isLeaving(std::string_view target, std::int64_t incarnation) const;

    /// Null if no leave of the target is known. Valid until the next change.
    const Leave *find(std::string_view target) const;

    /// Forgets the leaves that were not heard for ten minutes.
    void forgetOld(TimePoint now);

    std::vector<Leave> all() const;

private:
    std::map<std::string, Leave, std::less<>> leaves_; ///< By target; the newest incarnation that leaves.
};

} // namespace Lovageloft
