#include "drivers/etcd_store.h"

#include <algorithm>
#include <utility>

#include "drivers/etcd_messages.h"

namespace Lovageloft
{

namespace
{

constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpTooManyRequests = 429;
constexpr int httpServerError = 500;
constexpr int httpUnavailable = 503;
constexpr std::int64_t grpcNotFound = 5;

/// Size limit of the response to a write, which may show one value.
constexpr std::size_t maxValueBytes = 4'194'304;

/// Size limit of a list, such as a hundred entries of the configuration log of up to a megabyte each.
constexpr std::size_t maxListBytes = 146'800'640;

/// Size limit of a line with changes.
constexpr std::size_t maxWatchLineBytes = 16'777'216;

/// Whether the error states that the call was not executed. Only errors that etcd raises before it proposes a write count: "request timed out" has
/// the same status, but the write may still take effect.
bool isRefused(const HttpAnswer &answer)
{
    if (answer.status != httpUnavailable && answer.status != httpTooManyRequests) {
        return false;
    }
    const std::string text = parseEtcdError(answer.body).text;
    return text == "etcdserver: no leader" || text == "etcdserver: too many requests";
}

/// Whether the error is that of an invalid request, which is rejected before it takes effect. After other errors a write may have taken effect.
StoreStatus failureOf(const HttpAnswer &answer, StoreStatus unknown)
{
    if (answer.status == httpNotFound && parseEtcdError(answer.body).code == grpcNotFound) {
        return StoreStatus::NotFound;
    }
    return answer.status > httpOk && answer.status < httpServerError ? StoreStatus::Unavailable : unknown;
}

} // namespace

EtcdStore::EtcdStore(const EtcdStoreOptions &options)
    : options_(options)
    , pool_(options.endpoints, options.idleLimit)
{
}

StoreReply EtcdStore::get(std::string_view key)
{
    const CallResult result = call("/v3/kv/range", etcdGetCall(key), Effect::Read);
    std::optional<EtcdRangeAnswer> answer = parseEtcdRange(result.body);
    if (!answer) {
        return {StoreStatus::Unavailable, {}};
    }
    if (answer->entries.empty()) {
        return {StoreStatus::NotFound, {std::string(key), {}, 0, false}};
    }
    return {StoreStatus::Ok, std::move(answer->entries.front())};
}

StoreListReply EtcdStore::list(std::string_view prefix)
{
    const CallResult result = call("/v3/kv/range", etcdListCall(prefix), Effect::Read);
    std::optional<EtcdRangeAnswer> answer = parseEtcdRange(result.body);
    if (!answer) {
        return {StoreStatus::Unavailable, {}, 0};
    }
    return {StoreStatus::Ok, std::move(answer->entries), answer->revision};
}

StoreReply EtcdStore::compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId)
{
    StoreReply reply = conditionalWrite(key, etcdSwapCall(key, expectedRevision, value, leaseId));
    if (reply.status == StoreStatus::Ok) {
        reply.entry.value = value;
    }
    return reply;
}

StoreReply EtcdStore::compareAndDelete(std::string_view key, std::int64_t expectedRevision)
{
    StoreReply reply = conditionalWrite(key, etcdDeleteCall(key, expectedRevision));
    const bool wasAbsent = reply.status == StoreStatus::Ok ? expectedRevision == 0 : reply.entry.revision == 0;
    if (wasAbsent && (reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict)) {
        reply.status = StoreStatus::NotFound;
    }
    return reply;
}

StoreListReply EtcdStore::watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    const TimePoint deadline = BootClock::now() + timeout;
    std::unique_ptr<EtcdWatch> watch = acquireWatch(prefix, afterRevision);
    int reopensLeft = 1; // Otherwise a store that ends each watch at once would be called in a busy loop.
    while (true) {
        // A connection that a firewall has dropped silently looks like a quiet one, and a watch on it would miss all further writes. A new watch
        // from the same revision returns what was missed.
        if (!watch || BootClock::now() - watch->lastReceived() >= options_.watchSilenceLimit) {
            watch = openWatch(prefix, afterRevision);
        }
        if (!watch) {
            return {StoreStatus::Unavailable, {}, afterRevision};
        }
        StoreListReply reply{StoreStatus::Ok, {}, afterRevision};
        const EtcdWatchStatus status = watch->wait(afterRevision, std::min(deadline, watch->lastReceived() + options_.watchSilenceLimit), reply);
        if (status == EtcdWatchStatus::Compacted) {
            return {StoreStatus::NotFound, {}, reply.revision};
        }
        if (status == EtcdWatchStatus::Events || (status == EtcdWatchStatus::Timeout && BootClock::now() >= deadline)) {
            releaseWatch(prefix, std::move(watch));
            return reply;
        }
        if (status == EtcdWatchStatus::Timeout) {
            continue;
        }
        watch.reset();
        if (reopensLeft-- == 0) {
            return {StoreStatus::Unavailable, {}, afterRevision};
        }
    }
}

StoreLeaseReply EtcdStore::grantLease(Duration timeToLive)
{
    return callLease("/v3/lease/grant", etcdGrantCall(timeToLive));
}

StoreLeaseReply EtcdStore::keepAlive(std::int64_t leaseId)
{
    StoreLeaseReply reply = callLease("/v3/lease/keepalive", etcdLeaseCall(leaseId));
    reply.leaseId = leaseId;
    if (reply.status == StoreStatus::Ok && reply.timeToLive <= Duration::zero()) {
        reply.status = StoreStatus::NotFound;
    }
    return reply;
}

StoreLeaseReply EtcdStore::revokeLease(std::int64_t leaseId)
{
    StoreLeaseReply reply = callLease("/v3/lease/revoke", etcdLeaseCall(leaseId));
    reply.leaseId = leaseId;
    return reply;
}

EtcdStore::CallResult EtcdStore::call(const std::string &path, std::string_view body, Effect effect)
{
    const StoreStatus unknown = effect == Effect::Write ? StoreStatus::AnswerLost : StoreStatus::Unavailable;
    const TimePoint deadline = BootClock::now() + options_.callTimeout;
    const HttpCallOptions answerOptions{.maxBodyBytes = effect == Effect::Read ? maxListBytes : maxValueBytes,
                                        .pace = {options_.callTimeout, minStoreBytesPerSecond}};
    const std::size_t first = pool_.preferred();
    for (std::size_t attempt = 0; attempt < pool_.size(); ++attempt) {
        const std::size_t endpoint = (first + attempt) % pool_.size();
        const Duration share = (deadline - BootClock::now()) / static_cast<std::int64_t>(pool_.size() - attempt);
        std::unique_ptr<HttpConnection> connection = pool_.take(endpoint, share);
        if (!connection) {
            pool_.reportFailure(endpoint);
            continue;
        }
        std::optional<HttpAnswer> answer = connection->call("POST", path, body, deadline, answerOptions);
        if (!answer) {
            pool_.reportFailure(endpoint);
            return {unknown, {}};
        }
        if (isRefused(*answer)) {
            pool_.reportFailure(endpoint);
            continue;
        }
        pool_.giveBack(endpoint, std::move(connection));
        if (answer->status != httpOk) {
            return {failureOf(*answer, unknown), {}};
        }
        return {StoreStatus::Ok, std::move(answer->body)};
    }
    return {StoreStatus::Unavailable, {}};
}

StoreReply EtcdStore::conditionalWrite(std::string_view key, std::string_view body)
{
    const CallResult result = call("/v3/kv/txn", body, Effect::Write);
    StoreReply reply{result.status, {std::string(key), {}, 0, false}};
    if (result.status != StoreStatus::Ok) {
        return reply;
    }
    std::optional<EtcdTxnAnswer> answer = parseEtcdTxn(result.body);
    if (!answer) {
        reply.status = StoreStatus::AnswerLost;
        return reply;
    }
    if (answer->isSuccess) {
        reply.entry.revision = answer->revision;
        return reply;
    }
    reply.status = StoreStatus::Conflict;
    if (!answer->entries.empty()) {
        reply.entry = std::move(answer->entries.front());
    }
    return reply;
}

StoreLeaseReply EtcdStore::callLease(const std::string &path, std::string_view body)
{
    const CallResult result = call(path, body, Effect::Write);
    if (result.status != StoreStatus::Ok) {
        return {result.status, 0, {}};
    }
    const std::optional<EtcdLeaseAnswer> answer = parseEtcdLease(result.body);
    if (!answer) {
        return {StoreStatus::AnswerLost, 0, {}};
    }
    return {StoreStatus::Ok, answer->leaseId, answer->timeToLive};
}

std::unique_ptr<EtcdWatch> EtcdStore::openWatch(std::string_view prefix, std::int64_t afterRevision)
{
    const TimePoint deadline = BootClock::now() + options_.callTimeout;
    const std::string body = etcdWatchCall(prefix, afterRevision + 1);
    const std::size_t first = pool_.preferred();
    for (std::size_t attempt = 0; attempt < pool_.size(); ++attempt) {
        const std::size_t endpoint = (first + attempt) % pool_.size();
        const Duration share = (deadline - BootClock::now()) / static_cast<std::int64_t>(pool_.size() - attempt);
        std::unique_ptr<HttpConnection> connection = pool_.connect(endpoint, share);
        if (connection && connection->startStream("/v3/watch", body, BootClock::now() + share, maxWatchLineBytes)) {
            return std::make_unique<EtcdWatch>(std::move(connection), afterRevision);
        }
        pool_.reportFailure(endpoint);
    }
    return nullptr;
}

std::unique_ptr<EtcdWatch> EtcdStore::acquireWatch(std::string_view prefix, std::int64_t afterRevision)
{
    const std::lock_guard lock(watchesMutex_);
    const auto found = watches_.find(prefix);
    if (found == watches_.end()) {
        return nullptr;
    }
    std::unique_ptr<EtcdWatch> watch = std::move(found->second);
    watches_.erase(found);
    return watch->position() <= afterRevision ? std::move(watch) : nullptr;
}

void EtcdStore::releaseWatch(std::string_view prefix, std::unique_ptr<EtcdWatch> watch)
{
    const std::lock_guard lock(watchesMutex_);
    watches_.insert_or_assign(std::string(prefix), std::move(watch));
}

} // namespace Lovageloft
