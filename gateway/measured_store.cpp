#include "gateway/measured_store.h"

#include <array>

namespace Lovageloft
{

namespace
{

std::string_view statusName(StoreStatus status)
{
    constexpr std::array<std::string_view, 5> names{"ok", "conflict", "not_found", "unavailable", "answer_lost"};
    return names.at(static_cast<std::size_t>(status));
}

} // namespace

MeasuredStore::MeasuredStore(Store &store, Metrics &metrics)
    : store_(store)
    , metrics_(metrics)
{
}

template <typename Call>
auto MeasuredStore::recordCall(std::string_view name, Call call)
{
    const TimePoint startedAt = BootClock::now();
    auto reply = call();
    metrics_.add("lovageloft_store_calls_total", {{"call", name}, {"result", statusName(reply.status)}});
    if (reply.status != StoreStatus::Unavailable && reply.status != StoreStatus::AnswerLost) {
        metrics_.observe("lovageloft_store_call_seconds", {{"call", name}}, toSeconds(BootClock::now() - startedAt));
    }
    return reply;
}

std::int64_t MeasuredStore::era() const
{
    return store_.era();
}

StoreReply MeasuredStore::get(std::string_view key)
{
    return recordCall("get", [&] { return store_.get(key); });
}

StoreReply MeasuredStore::confirm(std::string_view key, std::int64_t revision)
{
    return recordCall("confirm", [&] { return store_.confirm(key, revision); });
}

StoreListReply MeasuredStore::list(std::string_view prefix)
{
    return recordCall("list", [&] { return store_.list(prefix); });
}

StoreReply MeasuredStore::compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId)
{
    return recordCall("compare_and_swap", [&] { return store_.compareAndSwap(key, expectedRevision, value, leaseId); });
}

StoreReply MeasuredStore::compareAndDelete(std::string_view key, std::int64_t expectedRevision)
{
    return recordCall("compare_and_delete", [&] { return store_.compareAndDelete(key, expectedRevision); });
}

StoreListReply MeasuredStore::watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    return recordCall("watch", [&] { return store_.watch(prefix, afterRevision, timeout); });
}

StoreLeaseReply MeasuredStore::grantLease(Duration timeToLive)
{
    return recordCall("grant_lease", [&] { return store_.grantLease(timeToLive); });
}

StoreLeaseReply MeasuredStore::keepAlive(std::int64_t leaseId)
{
    return recordCall("keep_alive", [&] { return store_.keepAlive(leaseId); });
}

StoreLeaseReply MeasuredStore::revokeLease(std::int64_t leaseId)
{
    return recordCall("revoke_lease", [&] { return store_.revokeLease(leaseId); });
}

} // namespace Lovageloft
