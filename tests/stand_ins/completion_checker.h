#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Lovageloft::StandIns
{

/// Checks that an answer made of a stand-in engine's tokens is complete, in order and the one to its request.
class CompletionChecker
{
public:
    /// An empty `id` takes any id, as long as all parts of the answer carry the same.
    CompletionChecker(std::string id, std::int64_t tokens, bool isChat);

    /// Takes one server-sent event without "data: "; false as soon as the answer is at fault.
    bool takeEvent(std::string_view event);

    /// Takes a whole answer.
    bool takeAnswer(std::string_view json);

    /// Whether all tokens, the finish reason and, of a stream, its end have come.
    bool isComplete() const;

    std::int64_t tokensSeen() const;

    /// What is wrong so far: "malformed", "wrong_id", "out_of_order" or "truncated"; empty for a complete answer.
    std::string_view fault() const;

private:
    bool take(std::string_view json, std::string_view textPath);
    bool takeId(std::string_view id);
    bool takeText(std::string_view text);
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
