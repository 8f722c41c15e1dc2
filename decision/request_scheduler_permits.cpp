#include "decision/request_scheduler.h"

#include <algorithm>
#include <utility>

/// The part of the scheduler that follows the rate limits which targets state.
namespace Lovageloft
{

namespace
{

/// Bounds of Retry-After of a request that no permit is expected for in time.
constexpr std::chrono::milliseconds minPermitRetryAfter{100};
constexpr std::chrono::seconds maxPermitRetryAfter{10};
constexpr double maxPermitWaitSeconds = 60;
constexpr std::string_view permitsSpent = "all targets are at the rate limits that they state";
/// Engines of which waiting requests want slots at the same time.
constexpr std::size_t maxSlotEngines = 6;

} // namespace

void RequestScheduler::updatePermitWaits(ModelId pool, TimePoint now)
{
    const bool hasLimits = permits_ != nullptr && !permits_->isIdle();
    if (!hasLimits && !hadLimits_) {
        return;
    }
    hadLimits_ = hasLimits;
    for (const auto &[index, engine] : engines_) {
        if (!hasLimits || engine.model == pool) {
            placement_.setPermitWait(index, hasLimits ? toSeconds(permits_->wait(engine.target, now)) : 0);
        }
    }
}

/// Refuses a request if all engines that can take it need permits, and none is expected before its deadline.
bool RequestScheduler::refuseWithoutPermits(const SchedulerRequest &request, ModelId pool, TimePoint now, Choice &choice) const
{
    std::optional<Duration> shortest;
    for (const auto &[index, engine] : engines_) {
        if (!isEligible(engine, pool, request.softwareVersion) || !engine.isServing) {
            continue;
        }
        const Duration wait = permits_->wait(engine.target, now);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    if (!shortest || now + *shortest < request.deadline) {
        return false;
    }
    choice.reason = {ResultCode::DeadlineWouldPass, std::string(permitsSpent)};
    choice.retryAfter = std::min<Duration>(*shortest, maxPermitRetryAfter);
    return true;
}

/// Wants a permit of the best engine without one for a request that goes to another engine; for requests that have to wait, permits of several engines.
/// Slots are wanted of more engines than there are requests: it is not known which engine has room first, and those that aren't needed go back at once.
void RequestScheduler::wantPermits(bool isPlaced, TimePoint now)
{
    std::size_t needed = isPlaced ? 1 : requests_.size();
    std::size_t slotEngines = 0;
    for (const EngineIndex index : placement_.preferredWithoutPermit()) {
        const std::string &target = engines_.at(index).target;
        const auto known = std::find_if(wantedPermits_.begin(), wantedPermits_.end(), [&target](const auto &wanted) { return wanted.target == target; });
        if (known == wantedPermits_.end()) {
            wantedPermits_.push_back({target, needed});
        } else {
            known->count = std::max(known->count, needed);
        }
        if (!isPlaced && permits_->slots().isLimited(target) && ++slotEngines < maxSlotEngines) {
            continue;
        }
        const std::size_t expected = std::max<std::size_t>(permits_->expected(target, now), 1);
        if (expected >= needed) {
            return;
        }
        needed -= expected;
    }
}

void RequestScheduler::releaseSlot(const InFlight &ended, DispatchResult end, TimePoint now)
{
    if (permits_ == nullptr || permits_->isIdle()) {
        return;
    }
    if (end == DispatchResult::Declined) {
        permits_->onRejected(ended.target, ended.slot, now);
    } else {
        permits_->onEnded(ended.target, ended.slot, end == DispatchResult::Finished ? SlotEnd::Finished : SlotEnd::Abandoned, now);
    }
}

void RequestScheduler::onSent(RequestId id, TimePoint now)
{
    if (const InFlight *request = findWithSlot(id)) {
        permits_->slots().onSent(request->target, request->slot, now);
    }
}

void RequestScheduler::onAccepted(RequestId id, TimePoint now)
{
    if (const InFlight *request = findWithSlot(id)) {
        permits_->slots().onAccepted(request->target, request->slot, now);
    }
}

bool RequestScheduler::isUndecided(RequestId id)
{
    const InFlight *request = findWithSlot(id);
    return request != nullptr && permits_->slots().isUndecided(request->target, request->slot);
}

/// The dispatched request with this id if it uses a slot; null otherwise.
const RequestScheduler::InFlight *RequestScheduler::findWithSlot(RequestId id) const
{
    const auto entry = inFlight_.find(id);
    return entry != inFlight_.end() && entry->second.slot != 0 ? &entry->second : nullptr;
}

/// The rate at which this host can send requests like this one if all engines that can take it need permits: what it has sent lately, or its even
/// share if that is more. Nothing if some engine needs none.
std::optional<double> RequestScheduler::permittedRate(const SchedulerRequest &request, ModelId pool, TimePoint now) const
{
    if (permits_ == nullptr || permits_->isIdle()) {
        return std::nullopt;
    }
    std::optional<double> total;
    for (const auto &[index, engine] : engines_) {
        if (!isEligible(engine, pool, request.softwareVersion) || !engine.isServing) {
            continue;
        }
        const auto rate = permits_->rateLimit(engine.target, now);
        if (!rate) {
            return std::nullopt;
        }
        total = total.value_or(0) + *rate;
    }
    if (!total) {
        return std::nullopt;
    }
    const auto use = permitUse_.find(pool);
    const double recent = use != permitUse_.end() ? use->second.rate(now) : 0;
    return std::min(*total, std::max(recent, *total / static_cast<double>(hostCount_)));
}

/// Refuses a request if the permits of all engines don't suffice for it and those that are queued before its deadline.
std::optional<SchedulerRefusal> RequestScheduler::checkPermits(const SchedulerRequest &request, ModelId pool, TimePoint now)
{
    const auto rate = permittedRate(request, pool, now);
    if (!rate) {
        return std::nullopt;
    }
    const auto ahead = std::count_if(requests_.begin(), requests_.end(), [&request](const auto &queued) {
        const bool isBound = request.softwareVersion.has_value();
        return queued.second.model == request.model && queued.second.pool == request.pool
            && (!isBound || queued.second.softwareVersion == request.softwareVersion);
    });
    const Duration timeLeft = request.deadline - now;
    const Duration wait = *rate > 0 ? fromSeconds(std::min(static_cast<double>(ahead) / *rate, maxPermitWaitSeconds)) : fromSeconds(maxPermitWaitSeconds);
    if (ahead == 0 && *rate > 0) {
        return std::nullopt;
    }
    if (wait < timeLeft) {
        return std::nullopt;
    }
    const Duration retryAfter = std::clamp<Duration>(wait - timeLeft, minPermitRetryAfter, maxPermitRetryAfter);
    return refuse(request.id, {ResultCode::DeadlineWouldPass, std::string(permitsSpent)}, retryAfter);
}

void RequestScheduler::setPermits(SendPermits *permits)
{
    permits_ = permits;
}

std::vector<WantedPermits> RequestScheduler::takeWantedPermits()
{
    return std::exchange(wantedPermits_, {});
}

} // namespace Lovageloft
