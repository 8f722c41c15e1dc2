#include "tests/stand_ins/stand_in_store.h"

#include <algorithm>
#include <sstream>
#include <string_view>

#include <Poco/JSON/Array.h>

#include "core/log.h"
#include "drivers/etcd_codec.h"

namespace Lovageloft::StandIns
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

/// Interval at which a pending watch checks for faults and expired leases.
constexpr Duration watchCheckInterval = std::chrono::milliseconds(20);

std::string toText(const Object::Ptr &object)
{
    std::ostringstream out;
    object->stringify(out);
    return out.str();
}

std::string bytesOf(const JsonBody &body, const std::string &name)
{
    return decodeBase64(body.text(name)).value_or("");
}

Object::Ptr keyValue(const StoreEntry &entry)
{
    Object::Ptr object = new Object;
    object->set("key", encodeBase64(entry.key));
    object->set("mod_revision", std::to_string(entry.revision));
    if (!entry.isDeleted) {
        object->set("value", encodeBase64(entry.value));
    }
    return object;
}

Object::Ptr eventOf(const StoreEntry &entry)
{
    Object::Ptr event = new Object;
    if (entry.isDeleted) {
        event->set("type", "DELETE"); // PUT is the default, which proto3 mappings leave out.
    }
    event->set("kv", keyValue(entry));
    return event;
}

bool isInRange(const std::string &key, const std::string &begin, const std::string &end)
{
    if (end.empty()) {
        return key == begin;
    }
    const bool isOpenEnded = end == std::string(1, '\0');
    return key >= begin && (isOpenEnded || key < end);
}

Array::Ptr eventsInRange(const std::vector<StoreEntry> &entries, const std::string &begin, const std::string &end)
{
    Array::Ptr events = new Array;
    for (const StoreEntry &entry : entries) {
        if (isInRange(entry.key, begin, end)) {
            events->add(eventOf(entry));
        }
    }
    return events;
}

void sendResult(std::ostream &out, const Object::Ptr &result)
{
    Object::Ptr line = new Object;
    line->set("result", result);
    out << toText(line) + "\n" << std::flush;
}

std::string errorJson(int code, const std::string &text)
{
    Object::Ptr error = new Object;
    error->set("error", text);
    error->set("message", text);
    error->set("code", code);
    return toText(error);
}

/// A field of a call by its proto name or its JSON name; the mapping allows both.
JsonBody member(const JsonBody &body, const std::string &protoName, const std::string &jsonName)
{
    return body.object(body.has(protoName) ? protoName : jsonName);
}

/// A response that has only its header so far.
Object::Ptr headed(std::int64_t revision)
{
    Object::Ptr header = new Object;
    header->set("cluster_id", "1");
    header->set("member_id", "1");
    header->set("revision", std::to_string(revision));
    header->set("raft_term", "1");
    Object::Ptr answer = new Object;
    answer->set("header", header);
    return answer;
}

/// The only form of a txn that the stand-in supports.
struct GuardedWrite
{
    std::string key;
    std::int64_t expectedRevision = 0;
    bool isPut = false;
    JsonBody call; ///< The put or the delete.
    bool hasRead = false;
    JsonBody read; ///< Performed if the comparison fails.
};

std::optional<std::int64_t> expectedRevision(const JsonBody &comparison)
{
    const std::string result = comparison.text("result");
    if (!result.empty() && result != "EQUAL") {
        return std::nullopt;
    }
    const std::string target = comparison.text("target");
    if (target == "MOD") {
        return comparison.number("mod_revision");
    }
    const bool isAbsent = comparison.number(target == "CREATE" ? "create_revision" : "version") == 0;
    return isAbsent ? std::optional<std::int64_t>(0) : std::nullopt;
}

std::optional<GuardedWrite> parseGuardedWrite(const JsonBody &txn)
{
    const std::vector<JsonBody> comparisons = txn.objects("compare");
    const std::vector<JsonBody> writes = txn.objects("success");
    const std::vector<JsonBody> reads = txn.objects("failure");
    if (comparisons.size() != 1 || writes.size() != 1 || reads.size() > 1) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> revision = expectedRevision(comparisons.front());
    const JsonBody put = member(writes.front(), "request_put", "requestPut");
    const bool isPut = put.has("key");
    const JsonBody call = isPut ? put : member(writes.front(), "request_delete_range", "requestDeleteRange");
    const std::string key = bytesOf(comparisons.front(), "key");
    if (!revision || bytesOf(call, "key") != key || call.has("range_end")) {
        return std::nullopt;
    }
    const JsonBody read = reads.empty() ? JsonBody("{}") : member(reads.front(), "request_range", "requestRange");
    return GuardedWrite{key, *revision, isPut, call, !reads.empty(), read};
}

} // namespace

StandInStore::StandInStore(std::uint16_t port, std::size_t historyLimit)
    : memory_(&BootClock::now, historyLimit)
    , server_([this](Exchange &exchange) { handle(exchange); }, port)
{
}

const StandInServer &StandInStore::server() const
{
    return server_;
}

void StandInStore::setFault(const StandInStoreFault &fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
}

void StandInStore::silenceOpenConnections()
{
    const std::lock_guard lock(mutex_);
    silencedConnections_ = connections_;
}

std::int64_t StandInStore::callCount(const std::string &kind) const
{
    const std::lock_guard lock(mutex_);
    const auto count = callCounts_.find(kind);
    return count == callCounts_.end() ? 0 : count->second;
}

void StandInStore::handle(Exchange &exchange)
{
    if (exchange.path() == "/test/faults") {
        planFault(exchange);
    } else if (exchange.path() == "/test/record") {
        reportRecord(exchange);
    } else {
        handleCall(exchange);
    }
}

void StandInStore::handleCall(Exchange &exchange)
{
    struct Route
    {
        std::string_view path;
        std::string_view kind;
        bool isWrite;
        Answer (StandInStore::*handler)(const JsonBody &);
    };

    static constexpr Route routes[] = {
        {"/v3/kv/range", "range", false, &StandInStore::range},
        {"/v3/kv/put", "put", true, &StandInStore::put},
        {"/v3/kv/deleterange", "deleterange", true, &StandInStore::deleteRange},
        {"/v3/kv/txn", "txn", true, &StandInStore::txn},
        {"/v3/lease/grant", "grant", false, &StandInStore::grantLease},
        {"/v3/lease/keepalive", "keepalive", false, &StandInStore::keepLeaseAlive},
        {"/v3/lease/revoke", "revoke", false, &StandInStore::revokeLease},
        {"/v3/watch", "watch", false, nullptr},
    };
    const auto route = std::find_if(std::begin(routes), std::end(routes), [&exchange](const Route &item) { return item.path == exchange.path(); });
    if (route == std::end(routes)) {
        exchange.sendJson(404, errorJson(5, "Not Found"));
        return;
    }
    countCall(exchange, std::string(route->kind));
    if (applyFault(exchange, currentFault())) {
        return;
    }
    if (route->handler == nullptr) {
        watch(exchange);
        return;
    }
    const Answer answer = (this->*route->handler)(JsonBody(exchange.body()));
    if (route->isWrite && consumeLostAnswer()) {
        exchange.closeConnection();
        return;
    }
    const StandInStoreFault fault = currentFault();
    if (fault.trickle > Duration::zero()) {
        exchange.trickleJson(answer.json, fault.trickle, fault.trickleBytes);
        return;
    }
    exchange.sendJson(answer.status, answer.json);
}

void StandInStore::planFault(Exchange &exchange)
{
    const JsonBody body(exchange.body());
    StandInStoreFault fault;
    fault.delay = std::chrono::milliseconds(body.number("delay_ms"));
    fault.trickle = std::chrono::milliseconds(body.number("trickle_ms"));
    fault.isDown = body.flag("down");
    fault.closesConnections = body.flag("close");
    fault.isFrozen = body.flag("freeze");
    fault.lostAnswers = body.number("lose_answers");
    setFault(fault);
    if (body.flag("silence_open_connections")) {
        silenceOpenConnections();
    }
    exchange.sendJson(200, "{}");
}

void StandInStore::reportRecord(Exchange &exchange)
{
    std::string json = R"({"calls":{)";
    {
        const std::lock_guard lock(mutex_);
        std::string_view separator;
        for (const auto &[kind, count] : callCounts_) {
            json += separator;
            appendJsonString(json, kind);
            json += ":" + std::to_string(count);
            separator = ",";
        }
    }
    exchange.sendJson(200, json + "}}");
}

void StandInStore::countCall(const Exchange &exchange, const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    ++callCounts_[kind];
    connections_.insert(exchange.callerAddress());
}

bool StandInStore::applyFault(Exchange &exchange, const StandInStoreFault &fault)
{
    if (fault.isFrozen || isSilenced(exchange)) {
        exchange.freeze();
        return true;
    }
    if (fault.closesConnections) {
        exchange.closeConnection();
        return true;
    }
    if (fault.isDown) {
        exchange.sendJson(503, errorJson(14, "etcdserver: no leader"));
        return true;
    }
    static_cast<void>(exchange.waitUntil(BootClock::now() + fault.delay));
    return false;
}

StandInStoreFault StandInStore::currentFault() const
{
    const std::lock_guard lock(mutex_);
    return fault_;
}

bool StandInStore::consumeLostAnswer()
{
    const std::lock_guard lock(mutex_);
    if (fault_.lostAnswers <= 0) {
        return false;
    }
    --fault_.lostAnswers;
    return true;
}

bool StandInStore::isSilenced(const Exchange &exchange) const
{
    const std::lock_guard lock(mutex_);
    return silencedConnections_.contains(exchange.callerAddress());
}

StandInStore::Answer StandInStore::range(const JsonBody &call)
{
    return {200, toText(rangeResult(call))};
}

StandInStore::Answer StandInStore::put(const JsonBody &call)
{
    const std::string key = bytesOf(call, "key");
    StoreReply reply;
    do {
        reply = memory_.compareAndSwap(key, memory_.get(key).entry.revision, bytesOf(call, "value"), call.number("lease"));
    } while (reply.status == StoreStatus::Conflict);
    if (reply.status == StoreStatus::NotFound) {
        return {404, errorJson(5, "etcdserver: requested lease not found")};
    }
    Object::Ptr result = headed(reply.entry.revision);
    return {200, toText(result)};
}

StandInStore::Answer StandInStore::deleteRange(const JsonBody &call)
{
    std::int64_t deleted = 0;
    for (const StoreEntry &entry : entriesOf(call).entries) {
        deleted += memory_.compareAndDelete(entry.key, entry.revision).status == StoreStatus::Ok ? 1 : 0;
    }
    Object::Ptr result = headed(entriesOf(call).revision);
    if (deleted > 0) {
        result->set("deleted", std::to_string(deleted));
    }
    return {200, toText(result)};
}

StandInStore::Answer StandInStore::txn(const JsonBody &call)
{
    const std::optional<GuardedWrite> write = parseGuardedWrite(call);
    if (!write) {
        return {400, errorJson(3, "stand-in: one comparison for equality that guards one write of its key, and one read otherwise")};
    }
    const StoreReply reply = write->isPut
        ? memory_.compareAndSwap(write->key, write->expectedRevision, bytesOf(write->call, "value"), write->call.number("lease"))
        : memory_.compareAndDelete(write->key, write->expectedRevision);
    if (write->isPut && reply.status == StoreStatus::NotFound) {
        return {404, errorJson(5, "etcdserver: requested lease not found")};
    }
    if (reply.status == StoreStatus::Ok) {
        const std::int64_t revision = write->isPut ? reply.entry.revision : entriesOf(write->call).revision;
        return txnAnswer(true, revision, write->isPut ? "response_put" : "response_delete_range", headed(revision));
    }
    const std::int64_t revision = entriesOf(write->call).revision;
    return txnAnswer(false, revision, "response_range", write->hasRead ? rangeResult(write->read) : nullptr);
}

StandInStore::Answer StandInStore::grantLease(const JsonBody &call)
{
    const std::int64_t seconds = call.number("TTL");
    const StoreLeaseReply reply = memory_.grantLease(std::chrono::seconds(seconds));
    Object::Ptr result = headed(0);
    result->set("ID", std::to_string(reply.leaseId));
    result->set("TTL", std::to_string(seconds));
    return {200, toText(result)};
}

StandInStore::Answer StandInStore::keepLeaseAlive(const JsonBody &call)
{
    const StoreLeaseReply reply = memory_.keepAlive(call.number("ID"));
    Object::Ptr lease = headed(0);
    lease->set("ID", std::to_string(call.number("ID")));
    if (reply.status == StoreStatus::Ok) {
        lease->set("TTL", std::to_string(std::chrono::duration_cast<std::chrono::seconds>(reply.timeToLive).count()));
    }
    Object::Ptr result = new Object;
    result->set("result", lease);
    return {200, toText(result) + "\n"};
}

StandInStore::Answer StandInStore::revokeLease(const JsonBody &call)
{
    if (memory_.revokeLease(call.number("ID")).status != StoreStatus::Ok) {
        return {404, errorJson(5, "etcdserver: requested lease not found")};
    }
    Object::Ptr result = headed(0);
    return {200, toText(result)};
}

void StandInStore::watch(Exchange &exchange)
{
    const JsonBody call = member(JsonBody(exchange.body()), "create_request", "createRequest");
    const std::int64_t start = call.number("start_revision");
    std::int64_t after = start > 0 ? start - 1 : entriesOf(call).revision;
    std::ostream &out = exchange.startStream("application/json");
    Object::Ptr created = headed(after);
    created->set("created", true);
    sendResult(out, created);
    while (canContinueWatch(exchange)) {
        const StoreListReply reply = memory_.watch("", after, watchCheckInterval);
        if (reply.status != StoreStatus::Ok) {
            Object::Ptr canceled = headed(reply.revision);
            canceled->set("canceled", true);
            canceled->set("compact_revision", std::to_string(reply.revision + 1));
            sendResult(out, canceled);
            return;
        }
        const Array::Ptr events = eventsInRange(reply.entries, bytesOf(call, "key"), bytesOf(call, "range_end"));
        if (!canContinueWatch(exchange)) {
            break;
        }
        after = std::max(after, reply.revision);
        if (events->size() > 0) {
            Object::Ptr result = headed(reply.revision);
            result->set("events", events);
            sendResult(out, result);
        }
    }
    if (isSilenced(exchange)) {
        exchange.freeze();
    }
    exchange.closeConnection();
}

bool StandInStore::canContinueWatch(const Exchange &exchange) const
{
    StandInStoreFault fault = currentFault();
    while (fault.isFrozen && exchange.waitUntil(BootClock::now() + watchCheckInterval)) {
        fault = currentFault();
    }
    const bool isHere = exchange.waitUntil(BootClock::now());
    return isHere && !isSilenced(exchange) && !fault.isDown && !fault.closesConnections;
}

StoreListReply StandInStore::entriesOf(const JsonBody &call)
{
    const std::string begin = bytesOf(call, "key");
    const std::string end = bytesOf(call, "range_end");
    const bool isPrefix = end.empty() || end == prefixRangeEnd(begin);
    StoreListReply reply = memory_.list(isPrefix ? begin : "");
    std::erase_if(reply.entries, [&begin, &end](const StoreEntry &entry) { return !isInRange(entry.key, begin, end); });
    return reply;
}

Object::Ptr StandInStore::rangeResult(const JsonBody &call)
{
    const StoreListReply reply = entriesOf(call);
    Object::Ptr result = headed(reply.revision);
    if (!reply.entries.empty()) {
        Array::Ptr items = new Array;
        for (const StoreEntry &entry : reply.entries) {
            items->add(keyValue(entry));
        }
        result->set("kvs", items);
        result->set("count", std::to_string(reply.entries.size()));
    }
    return result;
}

StandInStore::Answer StandInStore::txnAnswer(bool isSuccess, std::int64_t revision, const std::string &kind, const Object::Ptr &response)
{
    Object::Ptr result = headed(revision);
    if (isSuccess) {
        result->set("succeeded", true);
    }
    if (response) {
        Object::Ptr named = new Object;
        named->set(kind, response);
        Array::Ptr responses = new Array;
        responses->add(named);
        result->set("responses", responses);
    }
    return {200, toText(result)};
}

} // namespace Lovageloft::StandIns
