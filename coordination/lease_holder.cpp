#include "coordination/lease_holder.h"

#include <algorithm>

#include "coordination/store_position.h"

namespace Lovageloft
{

namespace
{

/// Keep-alives per time to live of the lease: two in a row may be lost.
constexpr int keepAlivesPerTimeToLive = 3;

} // namespace

LeaseHolder::LeaseHolder(Store &store, std::string_view key, std::string_view holder, LeaseOptions options)
    : store_(store)
    , key_(key)
    , holder_(holder)
    , options_(options)
{
}

void LeaseHolder::step(TimePoint now)
{
    if (now >= nextStep_) {
        (this->*step_)(now);
    }
    checkEra(now);
}

/// A store that was restored from an older backup may have given the key to another host, or may do so at any moment.
void LeaseHolder::checkEra(TimePoint now)
{
    const std::int64_t era = store_.era();
    if (era == lastEra_) {
        return;
    }
    if (lastEra_ != 0) {
        previousEraHolderUntil_ = now + options_.timeToLive + options_.margin;
    }
    lastEra_ = era;
    if (token_ != 0 && eraOf(token_) != era) {
        onLost(now);
    }
}

TimePoint LeaseHolder::nextStep() const
{
    return nextStep_;
}

void LeaseHolder::pollNow(TimePoint now)
{
    if (step_ == &LeaseHolder::pollKey) {
        nextStep_ = std::min(nextStep_, now);
    }
}

bool LeaseHolder::isHeld(TimePoint now) const
{
    return now < heldUntil();
}

TimePoint LeaseHolder::heldUntil() const
{
    return token_ != 0 && eraOf(token_) == store_.era() ? deadline_ : TimePoint{};
}

std::int64_t LeaseHolder::token() const
{
    return token_;
}

TimePoint LeaseHolder::settledAt() const
{
    return std::max(acquiredAt_ + options_.settleTime.value_or(options_.timeToLive + options_.margin), previousEraHolderUntil_);
}

void LeaseHolder::release(TimePoint now)
{
    if (token_ == 0) {
        return;
    }
    releasedToken_ = token_;
    token_ = 0;
    schedule(&LeaseHolder::deleteKey, now);
}

void LeaseHolder::pollKey(TimePoint now)
{
    const StoreReply reply = store_.get(key_);
    if (reply.status == StoreStatus::NotFound) {
        schedule(&LeaseHolder::requestLease, now);
    } else {
        schedule(&LeaseHolder::pollKey, now + (reply.status == StoreStatus::Ok ? options_.pollInterval : options_.retryDelay));
    }
}

void LeaseHolder::requestLease(TimePoint now)
{
    const StoreLeaseReply reply = store_.grantLease(options_.timeToLive);
    if (reply.status != StoreStatus::Ok) {
        schedule(&LeaseHolder::pollKey, now + options_.retryDelay);
        return;
    }
    leaseId_ = reply.leaseId;
    deadline_ = now + options_.timeToLive - options_.margin;
    schedule(&LeaseHolder::createKey, now);
}

void LeaseHolder::createKey(TimePoint now)
{
    const StoreReply reply = store_.compareAndSwap(key_, 0, keyValue(), leaseId_);
    if (reply.status == StoreStatus::Ok) {
        onAcquired(reply.entry.revision, now);
    } else if (reply.status == StoreStatus::AnswerLost || reply.status == StoreStatus::Conflict) {
        schedule(&LeaseHolder::readBack, now);
    } else {
        schedule(&LeaseHolder::pollKey, now + options_.retryDelay);
    }
}

void LeaseHolder::readBack(TimePoint now)
{
    // The write may have succeeded although its answer was lost. The value contains the process and its lease, so it can't be another's.
    const StoreReply reply = store_.get(key_);
    if (reply.status == StoreStatus::Ok && reply.entry.value == keyValue()) {
        onAcquired(reply.entry.revision, now);
    } else {
        schedule(&LeaseHolder::pollKey, now + (reply.status == StoreStatus::Ok ? options_.pollInterval : options_.retryDelay));
    }
}

void LeaseHolder::keepAlive(TimePoint now)
{
    if (now >= deadline_) {
        onLost(now);
        return;
    }
    const StoreLeaseReply reply = store_.keepAlive(leaseId_);
    if (reply.status == StoreStatus::NotFound) {
        onLost(now);
        return;
    }
    if (reply.status == StoreStatus::Ok) {
        deadline_ = now + options_.timeToLive - options_.margin;
    }
    schedule(&LeaseHolder::keepAlive, now + options_.timeToLive / keepAlivesPerTimeToLive);
}

void LeaseHolder::deleteKey(TimePoint now)
{
    store_.compareAndDelete(key_, releasedToken_);
    schedule(&LeaseHolder::pollKey, now + options_.pollInterval);
}

void LeaseHolder::onAcquired(std::int64_t revision, TimePoint now)
{
    token_ = revision;
    acquiredAt_ = now;
    schedule(&LeaseHolder::keepAlive, now + options_.timeToLive / keepAlivesPerTimeToLive);
}

void LeaseHolder::onLost(TimePoint now)
{
    token_ = 0;
    schedule(&LeaseHolder::pollKey, now + options_.retryDelay);
}

void LeaseHolder::schedule(Step step, TimePoint time)
{
    step_ = step;
    nextStep_ = time;
}

std::string LeaseHolder::keyValue() const
{
    return holder_ + " lease " + std::to_string(leaseId_);
}

} // namespace Lovageloft
