#include "coordination/rollout_grants.h"

#include <algorithm>

namespace Lovageloft
{

void RolloutGrants::setOrder(std::int64_t order)
{
    if (order != order_) {
        order_ = order;
        validUntil_ = {};
    }
}

void RolloutGrants::onPosition(std::int64_t position)
{
    if (position > position_) {
        position_ = position;
        validUntil_ = {};
    }
}

std::uint64_t RolloutGrants::onReport(TimePoint now)
{
    ++lastReport_;
    reportedAt_[lastReport_ % rememberedReports] = now;
    return lastReport_;
}

bool RolloutGrants::onGrant(const RolloutGrant &grant)
{
    const bool answersReport = grant.reportId <= lastReport_ && grant.reportId + rememberedReports > lastReport_ && grant.reportId != 0;
    if (!answersReport || grant.order != order_ || grant.position < position_) {
        return false;
    }
    onPosition(grant.position);
    validUntil_ = grant.validFor > Duration::zero() ? std::max(validUntil_, reportedAt_[grant.reportId % rememberedReports] + grant.validFor) : TimePoint{};
    return true;
}

bool RolloutGrants::isValid(TimePoint now) const
{
    return now < validUntil_;
}

} // namespace Lovageloft
