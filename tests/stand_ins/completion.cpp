#include "tests/stand_ins/completion.h"

#include <simdjson.h>

#include "core/log.h"

namespace Lovageloft::StandIns
{

namespace
{

using simdjson::dom::element;

template <typename T>
T valueOr(const simdjson::simdjson_result<element> &field, T fallback)
{
    T value{};
    return field.get(value) == simdjson::SUCCESS ? value : fallback;
}

void appendContent(std::string &out, element content)
{
    std::string_view text;
    if (content.get(text) == simdjson::SUCCESS) {
        out += text;
        return;
    }
    simdjson::dom::array parts;
    if (content.get(parts) != simdjson::SUCCESS) {
        return;
    }
    for (const element part : parts) {
        if (part["text"].get(text) == simdjson::SUCCESS) {
            out += text;
        }
    }
}

bool readPrompt(element document, CompletionRequest &request)
{
    if (!request.isChat) {
        element prompt;
        if (document["prompt"].get(prompt) != simdjson::SUCCESS) {
            return false;
        }
        appendContent(request.prompt, prompt);
        return true;
    }
    simdjson::dom::array messages;
    if (document["messages"].get(messages) != simdjson::SUCCESS) {
        return false;
    }
    for (const element message : messages) {
        element content;
        if (message["content"].get(content) == simdjson::SUCCESS) {
            appendContent(request.prompt, content);
        }
    }
    return true;
}

std::string usageJson(const CompletionUsage &usage)
{
    return R"({"prompt_tokens":)" + std::to_string(usage.promptTokens) + R"(,"completion_tokens":)" + std::to_string(usage.completionTokens)
        + R"(,"total_tokens":)" + std::to_string(usage.promptTokens + usage.completionTokens) + R"(,"prompt_tokens_details":{"cached_tokens":)"
        + std::to_string(usage.cachedTokens) + "}}";
}

} // namespace

std::optional<CompletionRequest> parseCompletionRequest(std::string_view body, bool isChat)
{
    thread_local simdjson::dom::parser parser;
    element document;
    if (parser.parse(simdjson::padded_string(body)).get(document) != simdjson::SUCCESS) {
        return std::nullopt;
    }
    CompletionRequest request;
    request.isChat = isChat;
    if (!readPrompt(document, request)) {
        return std::nullopt;
    }
    request.model = valueOr(document["model"], std::string_view());
    request.maxCompletionTokens = valueOr(document["max_completion_tokens"], valueOr(document["max_tokens"], request.maxCompletionTokens));
    request.isStream = valueOr(document["stream"], false);
    request.wantsUsage = valueOr(document["stream_options"]["include_usage"], false);
    return request;
}

CompletionWriter::CompletionWriter(const CompletionHeading &heading)
    : heading_(heading)
    , chunkStart_("data: " + start(heading.isChat ? "chat.completion.chunk" : "text_completion"))
{
}

std::string CompletionWriter::tokenEvent(std::int64_t token, bool isFirst) const
{
    std::string event = chunkStart_ + R"(,"choices":[{"index":0,)";
    if (heading_.isChat) {
        event += isFirst ? R"("delta":{"role":"assistant","content":")" : R"("delta":{"content":")";
        event += tokenText(token) + R"("})";
    } else {
        event += R"("text":")" + tokenText(token) + '"';
    }
    return event + ",\"finish_reason\":null}]}\n\n";
}

std::string CompletionWriter::finishEvent() const
{
    return chunkStart_ + R"(,"choices":[{"index":0,)" + (heading_.isChat ? R"("delta":{})" : R"("text":"")") + ",\"finish_reason\":\"length\"}]}\n\n";
}

std::string CompletionWriter::usageEvent(const CompletionUsage &usage) const
{
    return chunkStart_ + R"(,"choices":[],"usage":)" + usageJson(usage) + "}\n\n";
}

std::string CompletionWriter::wholeAnswer(std::int64_t firstToken, const CompletionUsage &usage) const
{
    std::string text;
    for (std::int64_t token = firstToken; token < usage.completionTokens; ++token) {
        text += tokenText(token);
    }
    const std::string choice = heading_.isChat ? R"("message":{"role":"assistant","content":")" + text + R"("})" : R"("text":")" + text + '"';
    return start(heading_.isChat ? "chat.completion" : "text_completion") + R"(,"choices":[{"index":0,)" + choice + R"(,"finish_reason":"length"}],"usage":)"
        + usageJson(usage) + "}";
}

std::string CompletionWriter::tokenText(std::int64_t token)
{
    return "tok" + std::to_string(token) + ' ';
}

std::string CompletionWriter::start(std::string_view object) const
{
    std::string text = R"({"id":)";
    appendJsonString(text, heading_.id);
    text += R"(,"object":")" + std::string(object) + R"(","created":)" + std::to_string(heading_.created) + R"(,"model":)";
    appendJsonString(text, heading_.model);
    return text;
}

} // namespace Lovageloft::StandIns
