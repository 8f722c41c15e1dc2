#include "servers/completion_call.h"

#include <algorithm>
#include <array>
#include <utility>

#include <simdjson.h>

namespace Lovageloft
{

namespace
{

namespace Json = simdjson::dom;

constexpr std::int64_t greatestMaxTokens = 1'000'000;
constexpr std::int64_t greatestChoices = 16;
constexpr std::int64_t greatestPriority = 1'000;
constexpr std::int64_t bytesPerToken = 4;
constexpr std::size_t greatestModelName = 128;

bool failField(Reason &reason, std::string_view field, std::string_view what)
{
    reason = {ResultCode::InvalidField, std::string(field) + ": " + std::string(what)};
    return false;
}

bool readNumber(const Json::element &value, std::string_view field, std::int64_t minimum, std::int64_t maximum, std::int64_t &out, Reason &reason)
{
    if (value.is_null()) {
        return true;
    }
    if (value.get(out) != simdjson::SUCCESS || out < minimum || out > maximum) {
        return failField(reason, field, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return true;
}

bool readModel(const Json::element &value, CompletionCall &request, Reason &reason)
{
    std::string_view model;
    if (value.get(model) != simdjson::SUCCESS || model.empty() || model.size() > greatestModelName) {
        return failField(reason, "model", "must be a text of 1 to 128 characters");
    }
    request.model = model;
    return true;
}

bool readStream(const Json::element &value, CompletionCall &request, Reason &reason)
{
    if (!value.is_null() && value.get(request.isStream) != simdjson::SUCCESS) {
        return failField(reason, "stream", "must be true or false");
    }
    return true;
}

bool readStreamOptions(const Json::element &value, CompletionCall &request, Reason &reason)
{
    if (value.is_null()) {
        return true;
    }
    if (!value.is_object()) {
        return failField(reason, "stream_options", "must be an object");
    }
    const auto error = value["include_usage"].get(request.wantsUsage);
    if (error != simdjson::SUCCESS && error != simdjson::NO_SUCH_FIELD) {
        return failField(reason, "stream_options.include_usage", "must be true or false");
    }
    return true;
}

bool readMaxTokens(const Json::element &value, CompletionCall &request, Reason &reason)
{
    return readNumber(value, "max_tokens", 1, greatestMaxTokens, request.maxTokens, reason);
}

bool readChoices(const Json::element &value, CompletionCall &request, Reason &reason)
{
    return readNumber(value, "n", 1, greatestChoices, request.choices, reason);
}

bool readPriority(const Json::element &value, CompletionCall &request, Reason &reason)
{
    return readNumber(value, "priority", -greatestPriority, greatestPriority, request.priority, reason);
}

/// A message's content is a text or a list of parts; other parts than texts count with their JSON text.
bool appendContent(const Json::element &content, CompletionCall &request, Reason &reason)
{
    std::string_view text;
    if (content.get(text) == simdjson::SUCCESS) {
        request.prompt.append(text);
        return true;
    }
    if (content.is_null()) {
        return true;
    }
    Json::array parts;
    if (content.get(parts) != simdjson::SUCCESS) {
        return failField(reason, "messages.content", "must be a text or a list of parts");
    }
    for (const Json::element part : parts) {
        if (part["text"].get(text) == simdjson::SUCCESS) {
            request.prompt.append(text);
        } else {
            request.prompt.append(simdjson::minify(part));
        }
    }
    return true;
}

bool readMessages(const Json::element &value, CompletionCall &request, Reason &reason)
{
    Json::array messages;
    if (value.get(messages) != simdjson::SUCCESS || messages.size() == 0) {
        return failField(reason, "messages", "must be a list that is not empty");
    }
    for (const Json::element message : messages) {
        std::string_view role;
        if (!message.is_object() || message["role"].get(role) != simdjson::SUCCESS) {
            return failField(reason, "messages", "each must be an object with a role");
        }
        request.prompt.append(role).push_back('\n');
        Json::element content;
        if (message["content"].get(content) == simdjson::SUCCESS && !appendContent(content, request, reason)) {
            return false;
        }
        request.prompt.push_back('\n');
    }
    return true;
}

bool readPrompt(const Json::element &value, CompletionCall &request, Reason &reason)
{
    std::string_view text;
    if (value.get(text) == simdjson::SUCCESS) {
        request.prompt.assign(text);
        return true;
    }
    return failField(reason, "prompt", "must be a text");
}

/// One field of the body that the router reads; all others pass through as they are.
struct FieldReader
{
    std::string_view name;
    bool (*read)(const Json::element &, CompletionCall &, Reason &);
};

constexpr std::array fieldReaders = std::to_array<FieldReader>({
    {"model", &readModel},
    {"stream", &readStream},
    {"stream_options", &readStreamOptions},
    {"max_tokens", &readMaxTokens},
    {"max_completion_tokens", &readMaxTokens},
    {"n", &readChoices},
    {"priority", &readPriority},
});

bool readFields(CompletionKind kind, const Json::object &object, CompletionCall &request, Reason &reason)
{
    for (const FieldReader &reader : fieldReaders) {
        Json::element value;
        if (object[reader.name].get(value) == simdjson::SUCCESS && !reader.read(value, request, reason)) {
            return false;
        }
    }
    if (request.model.empty()) {
        return failField(reason, "model", "is missing");
    }
    const bool isChat = kind == CompletionKind::Chat;
    Json::element prompt;
    if (object[isChat ? "messages" : "prompt"].get(prompt) != simdjson::SUCCESS) {
        return failField(reason, isChat ? "messages" : "prompt", "is missing");
    }
    return isChat ? readMessages(prompt, request, reason) : readPrompt(prompt, request, reason);
}

/// Rewrites the body so that the engine reports the usage of a stream, which the team's share is settled by.
std::string bodyWithUsage(const Json::object &object, std::string body)
{
    constexpr std::string_view option = R"("stream_options":{"include_usage":true})";
    const bool hasOptions = object["stream_options"].error() == simdjson::SUCCESS;
    if (!hasOptions) {
        const std::size_t brace = body.find('{');
        body.insert(brace + 1, std::string(option) + (object.size() == 0 ? "" : ","));
        return body;
    }
    std::string rewritten = "{" + std::string(option);
    for (const Json::key_value_pair field : object) {
        if (field.key == "stream_options") {
            continue;
        }
        rewritten += ",\"" + std::string(field.key) + "\":" + simdjson::minify(field.value);
    }
    return rewritten + "}";
}

} // namespace

std::int64_t CompletionCall::promptTokens() const
{
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(prompt.size()) / bytesPerToken);
}

std::optional<CompletionCall> parseCompletionCall(CompletionKind kind, std::string body, Reason &reason)
{
    Json::parser parser;
    Json::object object;
    body.reserve(body.size() + simdjson::SIMDJSON_PADDING);
    if (parser.parse(body.data(), body.size(), false).get(object) != simdjson::SUCCESS) {
        reason = {ResultCode::MalformedJson, "the body is not a JSON object"};
        return std::nullopt;
    }
    CompletionCall request;
    request.maxTokens = defaultMaxTokens;
    if (!readFields(kind, object, request, reason)) {
        return std::nullopt;
    }
    request.body = request.isStream && !request.wantsUsage ? bodyWithUsage(object, std::move(body)) : std::move(body);
    return request;
}

} // namespace Lovageloft
