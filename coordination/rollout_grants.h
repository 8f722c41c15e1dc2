#pragma once

#include <array>
#include <cstdint>

#include "coordination/rollout_messages.h"

namespace Lovageloft
{

/// A host's right to send requests to a version that is not trusted yet. It runs out by itself, counted from when the host asked for it, so
/// that no pause, lost message or silent leader can prolong it. Not thread-safe.
class RolloutGrants
{
public:
    /// Sets the order that grants must be for; all earlier ones are void.
    void setOrder(std::int64_t order);

    /// A position of the rollout became known. Grants for lower ones are void.
    void onPosition(std::int64_t position);

    /// The id for a report that is sent at `now`.
    std::uint64_t onReport(TimePoint now);

    /// Applies a grant; returns whether it is for the current order, answers a recent report and is not for an earlier position than known.
    bool onGrant(const RolloutGrant &grant);

    /// Whether a request may be sent to the ordered version at `now`.
    bool isValid(TimePoint now) const;

private:
    static constexpr std::size_t rememberedReports = 8;

    std::int64_t order_ = 0;
    std::int64_t position_ = 0;
    std::uint64_t lastReport_ = 0;
    std::array<TimePoint, rememberedReports> reportedAt_{}; ///< By report id, modulo its size.
    TimePoint validUntil_;
};

} // namespace Lovageloft
