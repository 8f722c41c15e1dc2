#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Lovageloft::StandIns
{

/// Checks that a response of a stand-in engine is complete, has its tokens in order and belongs to its request.
class CompletionChecker
{
public:
    /// With an empty `id` any id is accepted, as long as all parts of the response have the same.
    CompletionChecker(std::string id, std::int64_t tokens, bool isChat);

    /// Adds one server-sent event without "data: ". Returns false once the response is faulty.
    bool addEvent(std::string_view event);

    /// Adds a complete response body. Returns false if the response is faulty.
    bool addAnswer(std::string_view json);

    /// Whether all tokens, the finish reason and, for a stream, its end were added.
    bool isComplete() const;

    std::int64_t tokensSeen() const;

    /// The first fault found: "malformed", "wrong_id", "out_of_order" or "truncated"; empty for a complete response.
    std::string_view fault() const;

private:
    bool addDocument(std::string_view json, std::string_view textPath);
    bool matchId(std::string_view id);
    bool matchText(std::string_view text);
    bool fail(std::string_view fault);

    std::string id_;
    std::int64_t tokens_;
    bool isChat_;
    std::int64_t tokensSeen_ = 0;
    bool isFinished_ = false;
    bool isDone_ = false;
    std::string_view fault_;
};

} // namespace Lovageloft::StandIns
