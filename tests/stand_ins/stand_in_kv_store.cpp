#include "tests/stand_ins/stand_in_kv_store.h"

#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace Lovageloft
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int gone = 410;
constexpr int failed = 412;
constexpr int unavailable = 503;

std::string encode(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string decode(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    std::string out;
    Poco::StreamCopier::copyToString(decoder, out);
    return out;
}

Object::Ptr toJson(const StoreEntry &entry)
{
    Object::Ptr object = new Object;
    object->set("key", entry.key);
    object->set("rev", entry.revision);
    if (entry.isDeleted) {
        object->set("tombstone", true);
    } else {
        object->set("value", encode(entry.value));
        object->set("createRevision", entry.revision);
        object->set("lease", 0);
    }
    return object;
}

std::string text(const Object::Ptr &object)
{
    std::ostringstream out;
    object->stringify(out);
    return out.str();
}

std::string queryValue(const Poco::URI &uri, const std::string &name)
{
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string listText(const StoreListReply &reply, const char *name)
{
    Object::Ptr object = new Object;
    Array::Ptr items = new Array;
    for (const StoreEntry &entry : reply.entries) {
        items->add(toJson(entry));
    }
    object->set(name, items);
    object->set("morePages", false);
    object->set("asOf", reply.revision);
    return text(object);
}

std::string leaseText(const StoreLeaseReply &reply, int &status)
{
    if (reply.status != StoreStatus::Ok) {
        status = notFound;
        return "{}";
    }
    Object::Ptr object = new Object;
    object->set("lease", reply.leaseId);
    object->set("ttlMs", std::chrono::duration_cast<std::chrono::milliseconds>(reply.timeToLive).count());
    return text(object);
}

} // namespace

StandInKvStore::StandInKvStore()
    : server_([this](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { answer(connection, request); })
{
}

std::uint16_t StandInKvStore::port() const
{
    return server_.port();
}

MemoryStore &StandInKvStore::memory()
{
    return memory_;
}

void StandInKvStore::setFault(Fault fault)
{
    fault_ = fault;
}

void StandInKvStore::setRate(std::size_t bytesPerSecond)
{
    rate_ = bytesPerSecond;
}

void StandInKvStore::setEraText(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    eraText_ = text;
}

int StandInKvStore::calls() const
{
    return server_.requests();
}

void StandInKvStore::answer(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request)
{
    if (fault_ == Fault::Silent) {
        connection.waitClosed(std::chrono::seconds(5));
        return;
    }
    int status = ok;
    const std::string body = fault_ == Fault::Busy ? std::string("{}") : perform(request, status);
    if (fault_ == Fault::LostAnswer) {
        connection.reset();
        return;
    }
    if (fault_ == Fault::Stalled) {
        connection.send("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2));
        connection.waitClosed(std::chrono::seconds(5));
        return;
    }
    connection.setRate(rate_);
    connection.answer(request, fault_ == Fault::Busy ? unavailable : status, body, "Content-Type: application/json\r\n" + eraField());
}

std::string StandInKvStore::eraField()
{
    const std::lock_guard lock(mutex_);
    const std::string text = eraText_.value_or(std::to_string(1 + memory_.restoreCount()));
    return text.empty() ? text : "Store-Era: " + text + "\r\n";
}

std::string StandInKvStore::perform(const ScriptedTarget::Request &request, int &status)
{
    std::istringstream start(request.head);
    std::string method;
    std::string target;
    start >> method >> target;
    const Poco::URI uri(target);
    const std::string &path = uri.getPath();
    if (path == "/v1/kv-key") {
        const StoreReply reply = memory_.get(queryValue(uri, "key"));
        status = reply.status == StoreStatus::Ok ? ok : notFound;
        return status == ok ? text(toJson(reply.entry)) : "{}";
    }
    if (path == "/v1/kv-range") {
        return listText(memory_.list(queryValue(uri, "pathPrefix")), "items");
    }
    if (path == "/v1/kv-watch") {
        const auto reply = memory_.watch(
            queryValue(uri, "pathPrefix"), std::stoll(queryValue(uri, "after")), std::chrono::milliseconds(std::stoll(queryValue(uri, "waitMs"))));
        status = reply.status == StoreStatus::Ok ? ok : gone;
        return listText(reply, "events");
    }
    if (path == "/v1/kv-txn") {
        return transact(request.body, status);
    }
    if (path == "/v1/kv-lease") {
        const auto body = Poco::JSON::Parser().parse(request.body).extract<Object::Ptr>();
        return leaseText(memory_.grantLease(std::chrono::milliseconds(body->getValue<std::int64_t>("ttlMs"))), status);
    }
    const std::string id = path.substr(path.rfind('/') + 1);
    return leaseText(method == "DELETE" ? memory_.revokeLease(std::stoll(id)) : memory_.keepAlive(std::stoll(id)), status);
}

/// Performs transactions with one precondition and at most one change; the router sends no others.
std::string StandInKvStore::transact(const std::string &body, int &status)
{
    const auto call = Poco::JSON::Parser().parse(body).extract<Object::Ptr>();
    const auto precondition = call->getArray("precondition")->getObject(0);
    const std::string key = precondition->getValue<std::string>("key");
    const auto revision = precondition->getValue<std::int64_t>("rev");
    const Array::Ptr writes = call->getArray("writes");
    StoreReply reply;
    if (writes->size() > 0) {
        const auto write = writes->getObject(0);
        reply = memory_.compareAndSwap(key, revision, decode(write->getValue<std::string>("value")), write->getValue<std::int64_t>("lease"));
        if (reply.status == StoreStatus::NotFound) {
            status = notFound; // The lease does not exist.
            return "{}";
        }
    } else if (call->getArray("remove")->size() > 0) {
        reply = memory_.compareAndDelete(key, revision);
    } else {
        reply = memory_.confirm(key, revision);
    }
    if (reply.status == StoreStatus::NotFound && revision == 0) {
        reply.status = StoreStatus::Ok;
    }
    Object::Ptr object = new Object;
    if (reply.status == StoreStatus::Ok) {
        object->set("rev", reply.entry.revision);
        return text(object);
    }
    status = failed;
    Array::Ptr items = new Array;
    const StoreReply known = memory_.get(key);
    if (known.status == StoreStatus::Ok) {
        items->add(toJson(known.entry));
    }
    object->set("items", items);
    return text(object);
}

} // namespace Lovageloft
