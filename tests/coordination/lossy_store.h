#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/memory_store.h"
#include "core/random.h"

namespace Lovageloft
{

/// An in-memory store with outages, which loses answers before, after and long before a write takes effect.
class LossyStore : public MemoryStore
{
public:
    explicit LossyStore(Now now, std::uint64_t seed = 1)
        : MemoryStore(std::move(now))
        , random_(seed)
    {
    }

    StoreReply get(std::string_view key) override
    {
        ++calls;
        return isFailing() ? StoreReply{chance(50) ? StoreStatus::Unavailable : StoreStatus::AnswerLost, {}} : MemoryStore::get(key);
    }

    StoreReply compareAndSwap(std::string_view key, std::int64_t revision, std::string_view value, std::int64_t leaseId) override
    {
        return write([this, key = std::string(key), revision, value = std::string(value), leaseId] {
            return MemoryStore::compareAndSwap(key, revision, value, leaseId);
        });
    }

    StoreReply compareAndDelete(std::string_view key, std::int64_t revision) override
    {
        return write([this, key = std::string(key), revision] { return MemoryStore::compareAndDelete(key, revision); });
    }

    StoreLeaseReply grantLease(Duration timeToLive) override
    {
        ++calls;
        return isFailing() ? StoreLeaseReply{} : MemoryStore::grantLease(timeToLive);
    }

    StoreLeaseReply keepAlive(std::int64_t leaseId) override
    {
        const StoreLeaseReply reply = isFailing() ? StoreLeaseReply{} : MemoryStore::keepAlive(leaseId);
        return losesAnswers ? StoreLeaseReply{StoreStatus::AnswerLost, leaseId, {}} : reply;
    }

    bool isDown = false;
    bool losesAnswers = false; ///< Writes take effect, but no answer arrives.
    std::size_t lossPercent = 0;
    int calls = 0;

private:
    using Write = std::function<StoreReply()>;

    bool chance(std::size_t percent)
    {
        return randomBelow(random_, 100) < percent;
    }

    bool isFailing()
    {
        return isDown || chance(lossPercent);
    }

    StoreReply write(const Write &apply)
    {
        ++calls;
        if (!delayedWrites_.empty() && chance(20)) {
            delayedWrites_.back()();
            delayedWrites_.pop_back();
        }
        if (!isFailing()) {
            const StoreReply reply = apply();
            return losesAnswers ? StoreReply{StoreStatus::AnswerLost, {}} : reply;
        }
        if (chance(30)) {
            return {StoreStatus::Unavailable, {}};
        }
        if (chance(30)) {
            delayedWrites_.push_back(apply);
        } else if (!isDown && chance(50)) {
            apply();
        }
        return {StoreStatus::AnswerLost, {}};
    }

    Random random_;
    std::vector<Write> delayedWrites_;
};

} // namespace Lovageloft
