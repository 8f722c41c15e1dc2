#include "decision/permit_issuer.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// How long before it becomes valid a permit may be given out.
constexpr Duration maxAdvance = std::chrono::milliseconds(150);

/// The first permit of a target is delayed by the spacing of its permits, as another issuer may just have given out one, but not by more than this.
constexpr Duration maxFirstDelay = std::chrono::seconds(1);

/// Hosts that are told to ask again for each permit: some have no request any more by then.
constexpr int requestsPerPermit = 4;
constexpr Duration maxRequestGap = std::chrono::milliseconds(250);

/// Lower rates are treated as zero: no permit is issued.
constexpr double minRatePerSecond = 1e-3;
constexpr Duration retryAtZeroRate = std::chrono::seconds(1);

constexpr Duration unusedTime = std::chrono::minutes(1);

/// A remaining wait scaled to another spacing.
Duration scaled(Duration wait, Duration from, Duration to)
{
    return fromSeconds(toSeconds(wait) * toSeconds(to) / toSeconds(from));
}

} // namespace

void PermitIssuer::startAt(TimePoint from)
{
    from_ = from;
}

PermitDecision PermitIssuer::request(std::string_view target, double ratePerSecond, TimePoint now)
{
    if (ratePerSecond < minRatePerSecond) {
        return {false, retryAtZeroRate};
    }
    const Duration spacing = std::max(fromSeconds(1 / ratePerSecond), Duration(1));
    Schedule &schedule = scheduleOf(target, spacing, now);
    const TimePoint validFrom = std::max(schedule.nextPermitAt, now);
    if (validFrom - now <= maxAdvance) {
        schedule.nextPermitAt = validFrom + spacing;
        return {true, validFrom - now};
    }
    const TimePoint nextRequestAt = std::max(schedule.nextRequestAt, validFrom - maxAdvance);
    schedule.nextRequestAt = nextRequestAt + std::min(spacing / requestsPerPermit, maxRequestGap);
    return {false, nextRequestAt - now};
}

PermitIssuer::Schedule &PermitIssuer::scheduleOf(std::string_view target, Duration spacing, TimePoint now)
{
    auto found = schedules_.find(target);
    if (found == schedules_.end()) {
        const TimePoint first = std::max(now + std::min(spacing, maxFirstDelay), from_);
        found = schedules_.emplace(std::string(target), Schedule{spacing, first, now, now}).first;
    }
    Schedule &schedule = found->second;
    if (schedule.spacing != spacing) {
        schedule.nextPermitAt = now + scaled(std::max(schedule.nextPermitAt - now, Duration::zero()), schedule.spacing, spacing);
        schedule.nextRequestAt = now;
        schedule.spacing = spacing;
    }
    schedule.requestedAt = now;
    return schedule;
}

void PermitIssuer::dropUnused(TimePoint now)
{
    std::erase_if(schedules_, [now](const auto &entry) { return now - entry.second.requestedAt > unusedTime; });
}

} // namespace Lovageloft
