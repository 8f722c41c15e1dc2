#include "drivers/engine_reports.h"

#include <charconv>

#include <simdjson.h>

namespace Lovageloft
{

namespace
{

namespace Json = simdjson::dom;

bool parseObject(Json::parser &parser, std::string_view json, Json::element &object, Reason &reason)
{
    if (parser.parse(json.data(), json.size()).get(object) == simdjson::SUCCESS && object.is_object()) {
        return true;
    }
    reason = {ResultCode::TargetMalformed, "the engine's report is not a JSON object"};
    return false;
}

std::string readText(const Json::element &object, std::string_view field)
{
    std::string_view text;
    return object[field].get(text) == simdjson::SUCCESS ? std::string(text) : std::string();
}

std::int64_t readCount(const Json::element &object, std::string_view field)
{
    std::int64_t count = 0;
    return object[field].get(count) == simdjson::SUCCESS && count > 0 ? count : 0;
}

std::uint64_t readHash(const Json::element &object, std::string_view field)
{
    constexpr int hexadecimal = 16;
    std::uint64_t hash = 0;
    const std::string text = readText(object, field);
    std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
    return hash;
}

} // namespace

std::optional<EngineLoadReport> parseEngineLoadReport(std::string_view json, Reason &reason)
{
    Json::parser parser;
    Json::element object;
    if (!parseObject(parser, json, object, reason)) {
        return std::nullopt;
    }
    EngineLoadReport report;
    report.incarnation = readText(object, "incarnation");
    report.weightsVersion = readText(object, "weights_version");
    report.running = readCount(object, "running");
    report.waiting = readCount(object, "waiting");
    report.queuedPrefillTokens = readCount(object, "queued_prefill_tokens");
    report.computedPrefillTokens = readCount(object, "computed_prefill_tokens");
    if (object["cache_event_sequence"].error() == simdjson::SUCCESS) {
        report.cacheEventSequence = static_cast<std::uint64_t>(readCount(object, "cache_event_sequence"));
    }
    if (report.incarnation.empty()) {
        reason = {ResultCode::TargetMalformed, "the engine's load report has no incarnation"};
        return std::nullopt;
    }
    return report;
}

std::optional<EngineCacheEvents> parseEngineCacheEvents(std::string_view json, Reason &reason)
{
    Json::parser parser;
    Json::element object;
    Json::array events;
    if (!parseObject(parser, json, object, reason)) {
        return std::nullopt;
    }
    if (object["events"].get(events) != simdjson::SUCCESS) {
        reason = {ResultCode::TargetMalformed, "the engine's cache events have no list"};
        return std::nullopt;
    }
    EngineCacheEvents found;
    found.incarnation = readText(object, "incarnation");
    found.last = static_cast<std::uint64_t>(readCount(object, "last"));
    for (const Json::element event : events) {
        found.events.push_back({static_cast<std::uint64_t>(readCount(event, "sequence")), readHash(event, "block"), readText(event, "kind") == "stored"});
    }
    return found;
}

} // namespace Lovageloft
