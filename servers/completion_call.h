#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace Lovageloft
{

/// Which of the two completion calls a body belongs to.
enum class CompletionKind : std::uint8_t
{
    Chat, ///< /v1/chat/completions, with "messages".
    Text, ///< /v1/completions, with "prompt".
};

/// What the router has to know of a completion's body.
struct CompletionCall
{
    std::string model;
    std::string prompt; ///< Roles and contents, or the prompt, in order; for the prefix chain and the size only.
    std::int64_t maxTokens = 0; ///< Most tokens of one choice's answer.
    std::int64_t choices = 1;
    std::int64_t priority = 0; ///< The caller's own priority within its team; greater goes first.
    bool isStream = false;
    bool wantsUsage = false; ///< The caller asked for the usage of a stream.
    std::string body; ///< What is sent to the engine: the caller's body, asking for the usage too.

    /// Estimated tokens of the prompt: a quarter of its bytes, and at least one.
    std::int64_t promptTokens() const;
};

/// Tokens of an answer whose request names no limit.
constexpr std::int64_t defaultMaxTokens = 1'024;

/// Reads a body. MalformedJson if it is not a JSON object; InvalidField if a field is missing or has a wrong type or range.
std::optional<CompletionCall> parseCompletionCall(CompletionKind kind, std::string body, Reason &reason);

} // namespace Lovageloft
