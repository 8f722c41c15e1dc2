#pragma once

#include "coordination/store.h"
#include "core/metrics.h"

namespace Lovageloft
{

/// Store wrapper that counts calls by name and result, and measures the time of calls that were answered. Thread-safe if the store is.
class MeasuredStore final : public Store
{
public:
    /// `store` and `metrics` must outlive this object.
    MeasuredStore(Store &store, Metrics &metrics);

    std::int64_t era() const override;
    StoreReply get(std::string_view key) override;
    StoreReply confirm(std::string_view key, std::int64_t revision) override;
    StoreListReply list(std::string_view prefix) override;
    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override;
    StoreReply compareAndDelete(std::string_view key, std::int64_t expectedRevision) override;
    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override;
    StoreLeaseReply grantLease(Duration timeToLive) override;
    StoreLeaseReply keepAlive(std::int64_t leaseId) override;
    StoreLeaseReply revokeLease(std::int64_t leaseId) override;

private:
    template <typename Call>
    auto recordCall(std::string_view name, Call call);

    Store &store_;
    Metrics &metrics_;
};

} // namespace Lovageloft
