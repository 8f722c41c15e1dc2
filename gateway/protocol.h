#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/result_code.h"
#include "decision/prompt_parts.h"
#include "drivers/http_message.h"
#include "gateway/routing_table.h"
#include "gateway/target.h"

/// What differs between the interfaces that callers and targets speak. The pipeline between them is the same for all: a strategy
/// reads and writes names and formats and decides nothing.
namespace Lovageloft
{

/// What a caller says in the head of a request.
struct CallerRequest
{
    std::string id; ///< The caller's; unique for each of its attempts.
    std::string key; ///< Never logged and never passed on.
    std::string model; ///< Empty for a plain service.
    std::optional<std::uint32_t> promptTokens;
    std::uint32_t outputTokens = 0; ///< The most it wants.
    std::vector<PromptPart> parts; ///< In their order.
    std::optional<Duration> timeout; ///< How long the caller waits from now on.
    std::string lastEventId; ///< Not empty: go on after this event.
};

/// What the gateway adds to a request for one target.
struct TargetRequest
{
    std::string_view targetId = {}; ///< Any other target refuses the request.
    std::string_view team = {}; ///< Empty on public routes.
    std::optional<Duration> timeLeft = std::nullopt;
    std::string_view lastEventId = {};
    bool isForEngine = false;
    std::int64_t weightsVersion = 0; ///< Engines with another version refuse the request; 0: any.
    std::string_view cacheSalt = {}; ///< Cache entries are found under the same text only.
    std::string_view fetchFrom = {}; ///< Address of an engine or store that may hold parts of the prompt; may be empty.
    std::string_view saveTo = {}; ///< Address of the store that is to keep what is computed; may be empty.
    std::optional<int> urgency = std::nullopt; ///< 0 is the most urgent.
};

/// What a target tells of its load.
struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of a target's answer says.
struct AnswerFacts
{
    std::string requestId; ///< Of the request that it answers.
    bool isNotExecuted = false; ///< The target promises that the request did not run.
    bool isTargetMismatch = false; ///< Another target has this address, or it has other weights than were expected.
    std::string targetId; ///< Where the answer names it.
    std::optional<TargetLoad> load;
};

/// The interface towards callers.
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /// Reads the head of a request; nothing with a reason if a field can't be read.
    virtual std::optional<CallerRequest> read(const HttpHead &head, Reason &reason) const = 0;

    /// The status and whole body of a refusal or failure.
    virtual int statusOf(const Reason &reason, RunState runState) const = 0;
    virtual std::string body(const Reason &reason, RunState runState) const = 0;

    /// The value of the Retry-After field.
    virtual std::string retryAfter(Duration wait) const = 0;

    /// The path that the platform's balancer asks.
    virtual std::string_view readyPath() const = 0;
};

/// The interface towards targets.
class TargetProtocol
{
public:
    virtual ~TargetProtocol() = default;

    /// The whole head of a request with its empty line, made from the caller's.
    virtual std::string writeHead(const HttpHead &head, const TargetRequest &request, std::size_t bodyBytes) const = 0;

    virtual AnswerFacts readAnswer(const HttpHead &head) const = 0;

    /// Header fields of an answer that are for this host alone.
    virtual bool isPrivateField(std::string_view name) const = 0;
};

} // namespace Lovageloft
