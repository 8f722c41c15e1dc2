#pragma once

#include "coordination/store.h"

namespace Lovageloft
{

/// Forwards every call to another store; a base class for stores that override some of the calls. Thread-safe if the other store is.
class ForwardingStore : public Store
{
public:
    /// `next` must outlive this object.
    explicit ForwardingStore(Store &next)
        : next_(next)
    {
    }

    std::int64_t era() const override
    {
        return next_.era();
    }

    StoreReply get(std::string_view key) override
    {
        return next_.get(key);
    }

    StoreReply confirm(std::string_view key, std::int64_t revision) override
    {
        return next_.confirm(key, revision);
    }

    StoreListReply list(std::string_view prefix) override
    {
        return next_.list(prefix);
    }

    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override
    {
        return next_.compareAndSwap(key, expectedRevision, value, leaseId);
    }

    StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) override
    {
        return next_.compareAndDelete(key, expectedRevision);
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        return next_.watch(prefix, afterRevision, timeout);
    }

    StoreLeaseReply grantLease(Duration timeToLive) override
    {
        return next_.grantLease(timeToLive);
    }

    StoreLeaseReply keepAlive(std::int64_t leaseId) override
    {
        return next_.keepAlive(leaseId);
    }

    StoreLeaseReply revokeLease(std::int64_t leaseId) override
    {
        return next_.revokeLease(leaseId);
    }

private:
    Store &next_;
};

} // namespace Lovageloft
