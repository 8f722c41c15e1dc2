#include "drivers/answer_verifier.h"

#include <utility>

#include <simdjson.h>

#include "drivers/sse_reader.h"

namespace Lovageloft
{

static_assert(SseReader::padding >= simdjson::SIMDJSON_PADDING);

namespace
{

namespace Json = simdjson::dom;

std::int64_t readCount(const Json::element &object, std::string_view pointer)
{
    std::int64_t count = 0;
    return object.at_pointer(pointer).get(count) == simdjson::SUCCESS && count > 0 ? count : 0;
}

TokenUsage readUsage(const Json::element &usage)
{
    return {readCount(usage, "/prompt_tokens"), readCount(usage, "/completion_tokens"), readCount(usage, "/prompt_tokens_details/cached_tokens")};
}

/// The content of a choice in a chunk.
struct ChoiceContent
{
    bool hasText = false;
    bool hasOther = false; ///< It has tool calls or other content that can't be resumed.
    bool hasFinished = false;
};

bool isFilledText(simdjson::simdjson_result<Json::element> value)
{
    std::string_view text;
    return value.get(text) == simdjson::SUCCESS && !text.empty();
}

bool readChoice(const Json::element &choice, ChoiceContent &content)
{
    if (!choice.is_object()) {
        return false;
    }
    content.hasFinished = isFilledText(choice["finish_reason"]);
    Json::object delta;
    const auto error = choice["delta"].get(delta);
    if (error == simdjson::NO_SUCH_FIELD) {
        content.hasText = isFilledText(choice["text"]);
        return true;
    }
    for (const Json::key_value_pair field : delta) {
        if (field.key == "content") {
            content.hasText = isFilledText(Json::element(field.value));
        } else if (field.key != "role") {
            content.hasOther = true;
        }
    }
    return error == simdjson::SUCCESS;
}

EventAction fail(Reason &reason, ResultCode code, std::string_view text)
{
    reason = {code, std::string(text)};
    return EventAction::Fail;
}

} // namespace

struct AnswerVerifier::Parser
{
    Json::parser parser;
};

AnswerVerifier::AnswerVerifier(ExpectedAnswer expected)
    : expected_(std::move(expected))
    , parser_(std::make_unique<Parser>())
{
}

AnswerVerifier::~AnswerVerifier() = default;

bool AnswerVerifier::matchesId(std::string_view id) const
{
    // Engines prepend the type of the answer to the id that they were given.
    for (const std::string_view prefix : {"chatcmpl-", "cmpl-"}) {
        if (id.starts_with(prefix)) {
            id.remove_prefix(prefix.size());
            break;
        }
    }
    return id == expected_.requestId;
}

EventAction AnswerVerifier::onDone(Reason &reason)
{
    if (finishedChoices_ < expected_.choices) {
        return fail(reason, ResultCode::TargetTruncated, "the stream ended before every choice had finished");
    }
    return EventAction::Finish;
}

EventAction AnswerVerifier::onEvent(std::string_view data, Reason &reason)
{
    if (data == "[DONE]") {
        return onDone(reason);
    }
    Json::element chunk;
    if (parser_->parser.parse(data.data(), data.size(), false).get(chunk) != simdjson::SUCCESS || !chunk.is_object()) {
        return fail(reason, ResultCode::TargetMalformed, "a chunk of the stream is not a JSON object");
    }
    std::string_view id;
    if (chunk["id"].get(id) != simdjson::SUCCESS) {
        return fail(reason, ResultCode::TargetMalformed, "a chunk of the stream has no id");
    }
    if (!matchesId(id)) {
        return fail(reason, ResultCode::TargetCrossed, "a chunk of the stream carries another request's id");
    }
    Json::array choices;
    if (chunk["choices"].get(choices) != simdjson::SUCCESS) {
        return fail(reason, ResultCode::TargetMalformed, "a chunk of the stream has no choices");
    }
    std::int64_t newChunks = 0;
    for (const Json::element choice : choices) {
        ChoiceContent content;
        if (!readChoice(choice, content)) {
            return fail(reason, ResultCode::TargetMalformed, "a choice of the stream is malformed");
        }
        newChunks += content.hasText ? 1 : 0;
        finishedChoices_ += content.hasFinished ? 1 : 0;
        isPlainText_ = isPlainText_ && !content.hasOther;
    }
    Json::element usage;
    const bool hasUsage = chunk["usage"].get(usage) == simdjson::SUCCESS && usage.is_object();
    if (hasUsage) {
        usage_ = readUsage(usage);
    }
    const bool isOnlyUsage = choices.size() == 0 && hasUsage;
    if (isOnlyUsage && !expected_.wantsUsage) {
        return EventAction::Discard;
    }
    if (finishedChoices_ >= expected_.choices) {
        heldChunks_ += newChunks;
        return EventAction::Hold;
    }
    contentChunks_ += newChunks;
    return EventAction::Forward;
}

bool AnswerVerifier::onAnswer(std::string_view body, Reason &reason)
{
    Json::element answer;
    if (parser_->parser.parse(body.data(), body.size()).get(answer) != simdjson::SUCCESS || !answer.is_object()) {
        reason = {ResultCode::TargetMalformed, "the answer is not a JSON object"};
        return false;
    }
    std::string_view id;
    if (answer["id"].get(id) != simdjson::SUCCESS || !matchesId(id)) {
        reason = {ResultCode::TargetCrossed, "the answer carries another request's id"};
        return false;
    }
    Json::array choices;
    if (answer["choices"].get(choices) != simdjson::SUCCESS) {
        reason = {ResultCode::TargetMalformed, "the answer has no choices"};
        return false;
    }
    for (const Json::element choice : choices) {
        finishedChoices_ += isFilledText(choice["finish_reason"]) ? 1 : 0;
    }
    if (finishedChoices_ < expected_.choices) {
        reason = {ResultCode::TargetTruncated, "the answer has a choice without a finish reason"};
        return false;
    }
    Json::element usage;
    if (answer["usage"].get(usage) == simdjson::SUCCESS && usage.is_object()) {
        usage_ = readUsage(usage);
    }
    return true;
}

std::int64_t AnswerVerifier::contentChunks() const
{
    return contentChunks_;
}

bool AnswerVerifier::isResumable() const
{
    return expected_.choices == 1 && isPlainText_;
}

void AnswerVerifier::restart()
{
    finishedChoices_ = 0;
    heldChunks_ = 0;
}

const TokenUsage &AnswerVerifier::usage() const
{
    return usage_;
}

} // namespace Lovageloft
