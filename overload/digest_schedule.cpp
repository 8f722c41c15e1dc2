#include "overload/digest_schedule.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

constexpr double fleetDigestRate = 100; ///< Digests a second over all hosts.
constexpr Duration minInterval = std::chrono::milliseconds(100);
constexpr Duration activeTime = std::chrono::seconds(1);
constexpr double urgentGrowth = 1.5;
constexpr double peakDecay = 0.9; ///< Of the reported backlog with each digest.

} // namespace

Duration digestInterval(std::size_t hosts)
{
    return std::max(minInterval, fromSeconds(static_cast<double>(hosts) / fleetDigestRate));
}

DigestSchedule::DigestSchedule(Random::result_type seed)
    : random_(seed)
{
}

void DigestSchedule::setHosts(std::size_t hosts)
{
    interval_ = digestInterval(hosts);
}

bool DigestSchedule::isDue(double backlogSeconds, bool isActive, TimePoint now)
{
    if (isActive) {
        activeUntil_ = now + activeTime;
    }
    const double oldPart = std::exp(-toSeconds(now - smoothedAt_) / toSeconds(interval_));
    smoothedBacklog_ = oldPart * smoothedBacklog_ + (1 - oldPart) * backlogSeconds;
    smoothedAt_ = now;
    if (now >= activeUntil_ || now - sentAt_ < minInterval) {
        return false;
    }
    const bool isUrgent = smoothedBacklog_ > urgentGrowth * reportedBacklog_ && dueAt_ <= now + interval_;
    return now >= dueAt_ || isUrgent;
}

void DigestSchedule::onSent(TimePoint now)
{
    const bool isFirst = now - dueAt_ >= interval_;
    dueAt_ = std::max(dueAt_, now) + interval_ + (isFirst ? randomUpTo(random_, interval_) : Duration::zero());
    sentAt_ = now;
    reportedBacklog_ = std::max(smoothedBacklog_, peakDecay * reportedBacklog_);
}

} // namespace Lovageloft
