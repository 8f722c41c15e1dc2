#include "gateway/transit_estimator.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// Relays are two; each restart of one is a further process.
constexpr std::size_t maxSenders = 64;

/// By how much clocks of two machines may drift apart, as a fraction of the time: the smallest difference may grow as fast.
constexpr double maxClockDrift = 200e-6;

} // namespace

Duration TransitEstimator::onMessage(std::uint64_t process, TimePoint sentAt, TimePoint readAt)
{
    const Duration difference = readAt - sentAt;
    const auto [entry, isNew] = senders_.try_emplace(process, Sender{difference, readAt});
    Sender &sender = entry->second;
    const Duration drift = fromSeconds(toSeconds(readAt - sender.lastReadAt) * maxClockDrift);
    sender.smallestDifference = std::min(sender.smallestDifference + drift, difference);
    sender.lastReadAt = readAt;
    const Duration delay = difference - sender.smallestDifference;
    if (isNew && senders_.size() > maxSenders) {
        forgetOldest();
    }
    return delay;
}

void TransitEstimator::forgetOldest()
{
    const auto oldest = std::min_element(
        senders_.begin(), senders_.end(), [](const auto &left, const auto &right) { return left.second.lastReadAt < right.second.lastReadAt; });
    senders_.erase(oldest);
}

} // namespace Lovageloft
