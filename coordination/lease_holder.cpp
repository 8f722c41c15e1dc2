#include "coordination/lease_holder.h"

#include <algorithm>

#include "coordination/store_position.h"

namespace Lovageloft
{

namespace
{

/// Keep-alives per life of a lease: two may be lost in a row.
constexpr int keepAlivesPerLife = 3;

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
        (this->*next_)(now);
    }
    noteEra(now);
}

/// A store that came back from an older copy may have given the key to another, or may do so at any moment.
void LeaseHolder::noteEra(TimePoint now)
{
    const std::int64_t era = store_.era();
    if (era == era_) {
        return;
    }
    if (era_ != 0) {
        otherHolderUntil_ = now + options_.timeToLive + options_.margin;
    }
    era_ = era;
    if (token_ != 0 && eraOf(token_) != era) {
        lose(now);
    }
}

TimePoint LeaseHolder::nextStep() const
{
    return nextStep_;
}

void LeaseHolder::pollNow(TimePoint now)
{
    if (next_ == &LeaseHolder::poll) {
        nextStep_ = std::min(nextStep_, now);
    }
}

bool LeaseHolder::isHeld(TimePoint now) const
{
    return token_ != 0 && now < deadline_ && eraOf(token_) == store_.era();
}

std::int64_t LeaseHolder::token() const
{
    return token_;
}

TimePoint LeaseHolder::settledAt() const
{
    return std::max(acquiredAt_ + options_.settleTime.value_or(options_.timeToLive + options_.margin), otherHolderUntil_);
}

void LeaseHolder::release(TimePoint now)
{
    if (token_ == 0) {
        return;
    }
    removedToken_ = token_;
    token_ = 0;
    next(&LeaseHolder::remove, now);
}

void LeaseHolder::poll(TimePoint now)
{
    const StoreReply reply = store_.get(key_);
    if (reply.status == StoreStatus::NotFound) {
        next(&LeaseHolder::grant, now);
    } else {
        next(&LeaseHolder::poll, now + (reply.status == StoreStatus::Ok ? options_.pollInterval : options_.retryDelay));
    }
}

void LeaseHolder::grant(TimePoint now)
{
    const StoreLeaseReply reply = store_.grantLease(options_.timeToLive);
    if (reply.status != StoreStatus::Ok) {
        next(&LeaseHolder::poll, now + options_.retryDelay);
        return;
    }
    leaseId_ = reply.leaseId;
    deadline_ = now + options_.timeToLive - options_.margin;
    next(&LeaseHolder::create, now);
}

void LeaseHolder::create(TimePoint now)
{
    const StoreReply reply = store_.compareAndSwap(key_, 0, value(), leaseId_);
    if (reply.status == StoreStatus::Ok) {
        acquired(reply.entry.revision, now);
    } else if (reply.status == StoreStatus::AnswerLost || reply.status == StoreStatus::Conflict) {
        next(&LeaseHolder::readBack, now);
    } else {
        next(&LeaseHolder::poll, now + options_.retryDelay);
    }
}

void LeaseHolder::readBack(TimePoint now)
{
    // A lost answer may hide a success. The value names the process and its lease, so that it can't be another's.
    const StoreReply reply = store_.get(key_);
    if (reply.status == StoreStatus::Ok && reply.entry.value == value()) {
        acquired(reply.entry.revision, now);
    } else {
        next(&LeaseHolder::poll, now + (reply.status == StoreStatus::Ok ? options_.pollInterval : options_.retryDelay));
    }
}

void LeaseHolder::keepAlive(TimePoint now)
{
    if (now >= deadline_) {
        lose(now);
        return;
    }
    const StoreLeaseReply reply = store_.keepAlive(leaseId_);
    if (reply.status == StoreStatus::NotFound) {
        lose(now);
        return;
    }
    if (reply.status == StoreStatus::Ok) {
        deadline_ = now + options_.timeToLive - options_.margin;
    }
    next(&LeaseHolder::keepAlive, now + options_.timeToLive / keepAlivesPerLife);
}

void LeaseHolder::remove(TimePoint now)
{
    store_.compareAndDelete(key_, removedToken_);
    next(&LeaseHolder::poll, now + options_.pollInterval);
}

void LeaseHolder::acquired(std::int64_t revision, TimePoint now)
{
    token_ = revision;
    acquiredAt_ = now;
    next(&LeaseHolder::keepAlive, now + options_.timeToLive / keepAlivesPerLife);
}

void LeaseHolder::lose(TimePoint now)
{
    token_ = 0;
    next(&LeaseHolder::poll, now + options_.retryDelay);
}

void LeaseHolder::next(Step step, TimePoint time)
{
    next_ = step;
    nextStep_ = time;
}

std::string LeaseHolder::value() const
{
    return holder_ + " lease " + std::to_string(leaseId_);
}

} // namespace Lovageloft
