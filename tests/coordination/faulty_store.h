#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/memory_store.h"
#include "core/random.h"

namespace Lovageloft
{

/// An in-memory store with the failures of the platform's: it is down, loses answers before or after a write takes effect, or loses the answer
/// and applies the write much later. Calls are made one after another, so that a seed reproduces a run.
class FaultyStore : public Store
{
public:
    enum class Fault : std::uint8_t
    {
        None,
        Down, ///< The call fails at once and nothing is written.
        LostAfterWrite,
        LostBeforeWrite,
        DelayedWrite, ///< The answer is lost, and the write is applied before some later call.
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

    /// Sets a function that runs before each write, to simulate a concurrent operator.
    void setBeforeWrite(std::function<void()> beforeWrite)
    {
        beforeWrite_ = std::move(beforeWrite);
    }

    /// Applies the writes that are still in transit.
    void applyPendingWrites()
    {
        for (const PendingWrite &write : std::exchange(pendingWrites_, {})) {
            memory_.compareAndSwap(write.key, write.expectedRevision, write.value, 0);
        }
    }

    std::size_t readCount() const
    {
        return readCount_;
    }

    StoreReply get(std::string_view key) override
    {
        ++readCount_;
        const Fault fault = nextFault();
        return fault == Fault::None ? memory_.get(key) : StoreReply{failure(fault), {}};
    }

    StoreListReply list(std::string_view prefix) override
    {
        ++readCount_;
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
        if (fault == Fault::DelayedWrite) {
            pendingWrites_.push_back({std::string(key), expectedRevision, std::string(value)});
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
    }

    StoreLeaseReply grantLease(Duration timeToLive) override
    {
        return memory_.grantLease(timeToLive);
    }

    StoreLeaseReply keepAlive(std::int64_t leaseId) override
    {
        return memory_.keepAlive(leaseId);
    }

    StoreLeaseReply revokeLease(std::int64_t leaseId) override
    {
        return memory_.revokeLease(leaseId);
    }

private:
    struct PendingWrite
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
    std::vector<PendingWrite> pendingWrites_;
    std::size_t readCount_ = 0;
};

} // namespace Lovageloft
