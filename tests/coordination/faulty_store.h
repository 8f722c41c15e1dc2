#pragma once

#include <functional>
<<<<<<< HEAD
#include <optional>
#include <string>
#include <utility>
=======
#include <string>
>>>>>>> shares
#include <vector>

#include "coordination/memory_store.h"
#include "core/random.h"

namespace Lovageloft
{

<<<<<<< HEAD
/// A store in memory that fails as the platform's does: it is down, loses answers before or after a write took effect, and lets
/// a write whose answer was lost arrive much later. Calls happen one after another, so that a seed repeats a run.
class FaultyStore : public Store
{
public:
    enum class Fault : std::uint8_t
    {
        None,
        Down, ///< The call fails at once and nothing is written.
        LostAfterWrite,
        LostBeforeWrite,
        ArrivesLater, ///< The answer is lost, and the write is carried out before some later call.
    };

    using ChooseFault = std::function<Fault()>;

    FaultyStore()
        : memory_([this] { return now_; })
    {
    }

    void setFaults(ChooseFault chooseFault)
    {
        chooseFault_ = std::move(chooseFault);
    }

    /// Runs before each write, for another operator who comes in between.
    void setBeforeWrite(std::function<void()> beforeWrite)
    {
        beforeWrite_ = std::move(beforeWrite);
    }

    /// Carries out the writes that are still on their way.
    void deliverLateWrites()
    {
        for (const LateWrite &write : std::exchange(late_, {})) {
            memory_.compareAndSwap(write.key, write.expectedRevision, write.value, 0);
        }
    }

    std::size_t reads() const
    {
        return reads_;
=======
/// A store in memory with outages, whose answers get lost before, after and long before a write takes effect.
class FaultyStore : public MemoryStore
{
public:
    explicit FaultyStore(Now now, std::uint64_t seed = 1)
        : MemoryStore(std::move(now))
        , random_(seed)
    {
>>>>>>> shares
    }

    StoreReply get(std::string_view key) override
    {
<<<<<<< HEAD
        ++reads_;
        const Fault fault = nextFault();
        return fault == Fault::None ? memory_.get(key) : StoreReply{failure(fault), {}};
    }

    StoreListReply list(std::string_view prefix) override
    {
        ++reads_;
        const Fault fault = nextFault();
        return fault == Fault::None ? memory_.list(prefix) : StoreListReply{failure(fault), {}, 0};
    }

    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override
    {
        if (beforeWrite_) {
            beforeWrite_();
        }
        const Fault fault = nextFault();
        if (fault == Fault::None) {
            return memory_.compareAndSwap(key, expectedRevision, value, leaseId);
        }
        if (fault == Fault::LostAfterWrite) {
            memory_.compareAndSwap(key, expectedRevision, value, leaseId);
        }
        if (fault == Fault::ArrivesLater) {
            late_.push_back({std::string(key), expectedRevision, std::string(value)});
        }
        return {failure(fault), {}};
    }

    StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) override
    {
        return memory_.compareAndDelete(key, expectedRevision);
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        return memory_.watch(prefix, afterRevision, timeout);
=======
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
>>>>>>> shares
    }

    StoreLeaseReply grantLease(Duration timeToLive) override
    {
<<<<<<< HEAD
        return memory_.grantLease(timeToLive);
=======
        ++calls;
        return isFailing() ? StoreLeaseReply{} : MemoryStore::grantLease(timeToLive);
>>>>>>> shares
    }

    StoreLeaseReply keepAlive(std::int64_t leaseId) override
    {
<<<<<<< HEAD
        return memory_.keepAlive(leaseId);
    }

    StoreLeaseReply revokeLease(std::int64_t leaseId) override
    {
        return memory_.revokeLease(leaseId);
    }

private:
    struct LateWrite
    {
        std::string key;
        std::int64_t expectedRevision = 0;
        std::string value;
    };

    static StoreStatus failure(Fault fault)
    {
        return fault == Fault::Down ? StoreStatus::Unavailable : StoreStatus::AnswerLost;
    }

    Fault nextFault()
    {
        return chooseFault_ ? chooseFault_() : Fault::None;
    }

    TimePoint now_;
    MemoryStore memory_;
    ChooseFault chooseFault_;
    std::function<void()> beforeWrite_;
    std::vector<LateWrite> late_;
    std::size_t reads_ = 0;
=======
        const StoreLeaseReply reply = isFailing() ? StoreLeaseReply{} : MemoryStore::keepAlive(leaseId);
        return losesAnswers ? StoreLeaseReply{StoreStatus::AnswerLost, leaseId, {}} : reply;
    }

    bool isDown = false;
    bool losesAnswers = false; ///< Writes take effect, and nobody is told.
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
        if (!delayed_.empty() && chance(20)) {
            delayed_.back()();
            delayed_.pop_back();
        }
        if (!isFailing()) {
            const StoreReply reply = apply();
            return losesAnswers ? StoreReply{StoreStatus::AnswerLost, {}} : reply;
        }
        if (chance(30)) {
            return {StoreStatus::Unavailable, {}};
        }
        if (chance(30)) {
            delayed_.push_back(apply);
        } else if (!isDown && chance(50)) {
            apply();
        }
        return {StoreStatus::AnswerLost, {}};
    }

    Random random_;
    std::vector<Write> delayed_;
>>>>>>> shares
};

} // namespace Lovageloft
