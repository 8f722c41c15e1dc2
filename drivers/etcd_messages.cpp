#include "drivers/etcd_messages.h"

#include <charconv>

#include <simdjson.h>

#include "drivers/etcd_codec.h"

namespace Lovageloft
{

namespace
{

using simdjson::dom::element;
using Field = simdjson::simdjson_result<element>;

std::string jsonString(std::string_view bytes)
{
    return '"' + encodeBase64(bytes) + '"';
}

std::string jsonString(std::int64_t number)
{
    return '"' + std::to_string(number) + '"';
}

std::string guardedCall(std::string_view key, std::int64_t expectedRevision, std::string_view write)
{
    return R"({"compare":[{"key":)" + jsonString(key) + R"(,"target":"MOD","result":"EQUAL","mod_revision":)" + jsonString(expectedRevision)
        + R"(}],"success":[)" + std::string(write) + R"(],"failure":[{"request_range":{"key":)" + jsonString(key) + "}}]}";
}

/// Parses a response; returns nothing if it is not a complete JSON document. The element is valid until the next call in this thread.
Field parseDocument(std::string_view json)
{
    thread_local simdjson::dom::parser parser;
    return parser.parse(simdjson::padded_string(json));
}

/// A number; 0 if the field is missing. The mapping encodes 64-bit numbers as strings and omits zeros.
std::int64_t numberOf(const Field &field)
{
    std::int64_t number = 0;
    if (field.get(number) == simdjson::SUCCESS) {
        return number;
    }
    std::string_view text;
    if (field.get(text) == simdjson::SUCCESS) {
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

bool flagOf(const Field &field)
{
    bool flag = false;
    return field.get(flag) == simdjson::SUCCESS && flag;
}

std::string_view textOf(const Field &field)
{
    std::string_view text;
    return field.get(text) == simdjson::SUCCESS ? text : std::string_view();
}

bool appendEntry(const auto &keyValue, bool isDeleted, std::vector<StoreEntry> &entries)
{
    std::optional<std::string> key = decodeBase64(textOf(keyValue["key"]));
    std::optional<std::string> value = decodeBase64(textOf(keyValue["value"]));
    if (!key || key->empty() || !value) {
        return false;
    }
    entries.push_back({std::move(*key), std::move(*value), numberOf(keyValue["mod_revision"]), isDeleted});
    return true;
}

bool appendEntries(const Field &range, std::vector<StoreEntry> &entries)
{
    simdjson::dom::array keyValues;
    if (range["kvs"].get(keyValues) != simdjson::SUCCESS) {
        return true; // The mapping omits empty lists.
    }
    for (const element keyValue : keyValues) {
        if (!appendEntry(keyValue, false, entries)) {
            return false;
        }
    }
    return true;
}

/// Whether a response has a header. All responses of etcd do; a document without one is from something else, such as a proxy.
bool hasHeader(const Field &answer)
{
    return answer["header"].error() == simdjson::SUCCESS;
}

} // namespace

std::string etcdGetCall(std::string_view key)
{
    return R"({"key":)" + jsonString(key) + "}";
}

std::string etcdListCall(std::string_view prefix)
{
    // The mapping does not allow an empty key; a zero byte is the first possible one.
    const std::string_view begin = prefix.empty() ? std::string_view("\0", 1) : prefix;
    return R"({"key":)" + jsonString(begin) + R"(,"range_end":)" + jsonString(prefixRangeEnd(prefix)) + "}";
}

std::string etcdSwapCall(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId)
{
    std::string write = R"({"request_put":{"key":)" + jsonString(key) + R"(,"value":)" + jsonString(value);
    if (leaseId != 0) {
        write += R"(,"lease":)" + jsonString(leaseId);
    }
    return guardedCall(key, expectedRevision, write + "}}");
}

std::string etcdDeleteCall(std::string_view key, std::int64_t expectedRevision)
{
    return guardedCall(key, expectedRevision, R"({"request_delete_range":{"key":)" + jsonString(key) + "}}");
}

std::string etcdWatchCall(std::string_view prefix, std::int64_t startRevision)
{
    std::string range = etcdListCall(prefix);
    range.pop_back();
    return R"({"create_request":)" + range + R"(,"start_revision":)" + jsonString(startRevision) + "}}";
}

std::string etcdGrantCall(Duration timeToLive)
{
    return R"({"TTL":)" + jsonString(std::chrono::ceil<std::chrono::seconds>(timeToLive).count()) + "}";
}

std::string etcdLeaseCall(std::int64_t leaseId)
{
    return R"({"ID":)" + jsonString(leaseId) + "}";
}

std::optional<EtcdRangeAnswer> parseEtcdRange(std::string_view json)
{
    const Field document = parseDocument(json);
    EtcdRangeAnswer answer{numberOf(document["header"]["revision"]), {}};
    if (!hasHeader(document) || !appendEntries(document, answer.entries)) {
        return std::nullopt;
    }
    return answer;
}

std::optional<EtcdTxnAnswer> parseEtcdTxn(std::string_view json)
{
    const Field document = parseDocument(json);
    if (!hasHeader(document)) {
        return std::nullopt;
    }
    EtcdTxnAnswer answer{flagOf(document["succeeded"]), numberOf(document["header"]["revision"]), {}};
    if (!appendEntries(document["responses"].at(0)["response_range"], answer.entries)) {
        return std::nullopt;
    }
    return answer;
}

std::optional<EtcdLeaseAnswer> parseEtcdLease(std::string_view json)
{
    const Field document = parseDocument(json);
    const Field answer = document["result"].error() == simdjson::SUCCESS ? document["result"] : document; // Responses to keep-alives are a stream of results.
    if (!hasHeader(answer)) {
        return std::nullopt;
    }
    return EtcdLeaseAnswer{numberOf(answer["ID"]), std::chrono::seconds(numberOf(answer["TTL"]))};
}

std::optional<EtcdWatchLine> parseEtcdWatchLine(std::string_view json)
{
    const Field result = parseDocument(json)["result"];
    if (!hasHeader(result)) {
        return std::nullopt;
    }
    EtcdWatchLine line{{}, flagOf(result["canceled"]), numberOf(result["compact_revision"])};
    simdjson::dom::array events;
    if (result["events"].get(events) != simdjson::SUCCESS) {
        return line;
    }
    for (const element event : events) {
        if (!appendEntry(event["kv"], textOf(event["type"]) == "DELETE", line.entries)) {
            return std::nullopt;
        }
    }
    return line;
}

EtcdError parseEtcdError(std::string_view json)
{
    const Field document = parseDocument(json);
    const std::string_view text = textOf(document["error"]);
    return {numberOf(document["code"]), std::string(text.empty() ? textOf(document["message"]) : text)};
}

} // namespace Lovageloft
