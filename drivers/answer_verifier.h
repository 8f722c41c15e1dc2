#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace Lovageloft
{

/// Tokens that an engine counted for a request.
struct TokenUsage
{
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::int64_t cachedTokens = 0;
};

/// What is to be done with an event of a stream.
enum class EventAction : std::uint8_t
{
    Forward,
    Hold, ///< Part of the answer's end: to be forwarded only once [DONE] has come.
    Swallow, ///< Not meant for the caller: the usage that only the router asked for.
    Finish, ///< The stream is whole; forward it and end.
    Fail, ///< The reason says why.
};

/// What an answer has to show to count as the whole answer to its own request.
struct ExpectedAnswer
{
    std::string requestId;
    std::int64_t choices = 1;
    bool wantsUsage = false; ///< Whether the caller asked for the usage itself.
};

/// Checks an engine's answer as it passes: each chunk is valid JSON and carries the request's own id, every choice ends with
/// a finish reason, and the stream ends with [DONE] after that. What goes wrong otherwise: a broken or crossed stream looks
/// like a short answer, and a clerk prints half a table or another team's text.
class AnswerVerifier
{
public:
    explicit AnswerVerifier(ExpectedAnswer expected);
    ~AnswerVerifier();
    AnswerVerifier(const AnswerVerifier &) = delete;
    AnswerVerifier &operator=(const AnswerVerifier &) = delete;

    /// Checks the data of one event. At least SseReader::padding bytes behind the view must be readable.
    EventAction onEvent(std::string_view data, Reason &reason);

    /// Checks a whole JSON answer.
    bool onAnswer(std::string_view body, Reason &reason);

    /// Begins again with another engine: the end that was held, and what came with it, counts no more.
    void restart();

    /// Chunks with content forwarded so far; where a resumed stream has to go on.
    std::int64_t contentChunks() const;

    /// Whether the stream can be resumed elsewhere: one choice and plain text only.
    bool isResumable() const;

    /// What the engine counted; zeros until it said so.
    const TokenUsage &usage() const;

private:
    struct Parser;

    EventAction onDone(Reason &reason);
    bool matchesId(std::string_view id) const;

    ExpectedAnswer expected_;
    std::unique_ptr<Parser> parser_;
    TokenUsage usage_;
    std::int64_t contentChunks_ = 0;
    std::int64_t heldChunks_ = 0; ///< With content, within the end that is held.
    std::int64_t finishedChoices_ = 0;
    bool isPlainText_ = true;
};

} // namespace Lovageloft
