#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The parts of the request and response bodies of OpenAI's public completions API that the stand-ins use.
namespace Lovageloft::StandIns
{

/// What a stand-in engine reads from the body of a completion request.
struct CompletionRequest
{
    bool isChat = false;
    bool isStream = false;
    bool wantsUsage = false; ///< The value of stream_options.include_usage.
    std::int64_t maxCompletionTokens = 16;
    std::string model;
    std::string prompt; ///< The prompt; for a chat the concatenated contents of all messages.
};

/// Parses a request body. Returns nothing if it is not a JSON object with messages or a prompt.
std::optional<CompletionRequest> parseCompletionRequest(std::string_view body, bool isChat);

/// The fields that all parts of one response have in common.
struct CompletionHeading
{
    std::string id;
    std::string model;
    std::int64_t created = 0; ///< Seconds since 1970.
    bool isChat = false;
};

/// Token counts of a response.
struct CompletionUsage
{
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::int64_t cachedTokens = 0;
};

/// Formats the parts of one response.
class CompletionWriter
{
public:
    explicit CompletionWriter(const CompletionHeading &heading);

    /// The server-sent event of one token. `isFirst` adds the role to a chat response.
    std::string tokenEvent(std::int64_t token, bool isFirst) const;

    /// The event with the finish reason.
    std::string finishEvent() const;

    /// The event with the usage and no choices.
    std::string usageEvent(const CompletionUsage &usage) const;

    /// The complete body for a request without `stream`, with the tokens from `firstToken` on.
    std::string wholeAnswer(std::int64_t firstToken, const CompletionUsage &usage) const;

    /// The text of a token: "tok<i> ".
    static std::string tokenText(std::int64_t token);

private:
    std::string start(std::string_view object) const;

    CompletionHeading heading_;
    std::string chunkStart_; ///< The same for all chunks of the response.
};

} // namespace Lovageloft::StandIns
