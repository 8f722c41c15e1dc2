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

/// How to handle an event of a stream.
enum class EventAction : std::uint8_t
{
    Forward,
    Hold, ///< Part of the end of the answer: to be forwarded only when [DONE] has arrived.
    Discard, ///< Not meant for the caller: the usage, if only the router requested it.
    Finish, ///< The stream is complete: forward the held events and this one, and end.
    Fail, ///< The stream is invalid; the reason states why.
};

/// What a complete answer to a request must contain.
struct ExpectedAnswer
{
    std::string requestId;
    std::int64_t choices = 1;
    bool wantsUsage = false; ///< Whether the caller requested the usage.
};

/// Verifies an engine's answer while it is forwarded: each chunk is valid JSON with the request's id, every choice ends with a finish reason, and
/// the stream ends with [DONE] after that. Otherwise a broken or crossed stream would look like a short answer, and the caller would use half a
/// text or the text of another team.
class AnswerVerifier
{
public:
    explicit AnswerVerifier(ExpectedAnswer expected);
    ~AnswerVerifier();
    AnswerVerifier(const AnswerVerifier &) = delete;
    AnswerVerifier &operator=(const AnswerVerifier &) = delete;

    /// Verifies the data of an event. At least SseReader::padding bytes after the view must be readable.
    EventAction onEvent(std::string_view data, Reason &reason);

    /// Verifies a complete JSON answer; returns false and sets `reason` if it is invalid.
    bool onAnswer(std::string_view body, Reason &reason);

    /// Starts over with another engine: the held end of the answer and its content are discarded.
    void restart();

    /// Number of forwarded chunks with content, after which a resumed stream must continue.
    std::int64_t contentChunks() const;

    /// Whether the stream can be resumed at another engine: it has one choice and only plain text.
    bool isResumable() const;

    /// The engine's token counts; zeros until it has reported them.
    const TokenUsage &usage() const;

private:
    struct Parser;

    EventAction onDone(Reason &reason);
    bool matchesId(std::string_view id) const;

    ExpectedAnswer expected_;
    std::unique_ptr<Parser> parser_;
    TokenUsage usage_;
    std::int64_t contentChunks_ = 0;
    std::int64_t heldChunks_ = 0; ///< Chunks with content in the held end of the answer.
    std::int64_t finishedChoices_ = 0;
    bool isPlainText_ = true;
};

} // namespace Lovageloft
