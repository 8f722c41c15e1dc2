#include "gateway/store_probe_duty.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

/// How often a host that is no relay, or has no lease, checks whether that has changed.
constexpr Duration idleInterval = std::chrono::seconds(1);

constexpr Duration minInterval = std::chrono::milliseconds(20);

} // namespace

StoreProbeDuty::StoreProbeDuty(RelayedStore &store, std::function<std::int64_t()> leaseId)
    : store_(store)
    , leaseId_(std::move(leaseId))
{
}

void StoreProbeDuty::run()
{
    while (!isStopped()) {
        const auto delay = store_.probeDelay();
        const std::int64_t lease = leaseId_();
        if (!delay || lease == 0) {
            sleepFor(idleInterval);
            continue;
        }
        if (*delay > Duration::zero()) {
            sleepFor(std::max(*delay, minInterval));
            continue;
        }
        const StoreStatus status = store_.keepAlive(lease).status;
        if (status == StoreStatus::Unavailable || status == StoreStatus::AnswerLost) {
            sleepFor(backoff_.nextDelay());
        } else {
            backoff_.reset();
        }
    }
}

} // namespace Lovageloft
