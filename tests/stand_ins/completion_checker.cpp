#include "tests/stand_ins/completion_checker.h"

#include <utility>

#include <simdjson.h>

#include "tests/stand_ins/completion.h"

namespace Lovageloft::StandIns
{

CompletionChecker::CompletionChecker(std::string id, std::int64_t tokens, bool isChat)
    : id_(std::move(id))
    , tokens_(tokens)
    , isChat_(isChat)
{
}

bool CompletionChecker::addEvent(std::string_view event)
{
    if (isDone_) {
        return fail("malformed");
    }
    if (event == "[DONE]") {
        isDone_ = true;
        return true;
    }
    return addDocument(event, isChat_ ? "/delta/content" : "/text");
}

bool CompletionChecker::addAnswer(std::string_view json)
{
    isDone_ = true;
    return addDocument(json, isChat_ ? "/message/content" : "/text");
}

bool CompletionChecker::isComplete() const
{
    return fault_.empty() && isDone_ && isFinished_ && tokensSeen_ == tokens_;
}

std::int64_t CompletionChecker::tokensSeen() const
{
    return tokensSeen_;
}

std::string_view CompletionChecker::fault() const
{
    if (!fault_.empty()) {
        return fault_;
    }
    return isComplete() ? "" : "truncated";
}

bool CompletionChecker::addDocument(std::string_view json, std::string_view textPath)
{
    thread_local simdjson::dom::parser parser;
    simdjson::dom::element document;
    std::string_view id;
    if (parser.parse(simdjson::padded_string(json)).get(document) != simdjson::SUCCESS || document["id"].get(id) != simdjson::SUCCESS) {
        return fail("malformed");
    }
    if (!matchId(id)) {
        return fail("wrong_id");
    }
    const auto choice = document["choices"].at(0);
    std::string_view finishReason;
    isFinished_ = isFinished_ || choice["finish_reason"].get(finishReason) == simdjson::SUCCESS;
    std::string_view text;
    if (choice.at_pointer(textPath).get(text) != simdjson::SUCCESS) {
        return true; // Events with the finish reason or the usage have no text.
    }
    return matchText(text) || fail("out_of_order");
}

bool CompletionChecker::matchId(std::string_view id)
{
    if (id_.empty()) {
        id_ = id;
    }
    return id == id_;
}

bool CompletionChecker::matchText(std::string_view text)
{
    while (!text.empty()) {
        const std::string expected = CompletionWriter::tokenText(tokensSeen_);
        if (!text.starts_with(expected)) {
            return false;
        }
        text.remove_prefix(expected.size());
        ++tokensSeen_;
    }
    return tokensSeen_ <= tokens_;
}

bool CompletionChecker::fail(std::string_view fault)
{
    fault_ = fault;
    return false;
}

} // namespace Lovageloft::StandIns
