#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/result_code.h"
#include "decision/prompt_parts.h"
#include "decision/target_statement.h"
#include "drivers/http_message.h"
#include "gateway/routing_table.h"
#include "gateway/target.h"

/// Interfaces to the protocols of callers and targets, and the data that they read and write. The pipeline between them is the same for all protocols:
/// implementations only read and write field names and formats, they make no decisions.
namespace Lovageloft
{

/// Contents of the head of a caller's request.
struct CallerRequest
{
    std::string id; ///< Chosen by the caller; unique for each of its attempts.
    std::string key; ///< API key. Never logged and never forwarded.
    std::string model; ///< Empty for a service.
    std::optional<std::uint32_t> promptTokens; ///< Nothing if the caller did not state it.
    std::uint32_t outputTokens = 0; ///< Maximum number of tokens to generate.
    std::vector<PromptPart> parts; ///< In the order of the prompt.
    std::optional<Duration> timeout; ///< How long the caller waits, from the arrival of the head.
    std::string lastEventId; ///< Resume a stream after this event; may be empty.
    std::string resumes; ///< Id of the attempt that received the first event of the stream to resume; empty if the caller did not state it.
};

/// Values that the gateway adds to a request for one target.
struct TargetRequest
{
    std::string_view targetId = {}; ///< Other targets decline the request.
    std::string_view team = {}; ///< Empty on public routes.
    std::optional<Duration> timeLeft = std::nullopt;
    std::string_view lastEventId = {};
    bool isForEngine = false; ///< The request names a model, and the target runs models. The fields below are only sent to engines.
    std::int64_t weightsVersion = 0; ///< Engines with another version decline the request; 0 for any version.
    std::string_view cacheSalt = {}; ///< Cache entries are only found with the same salt.
    std::string_view fetchFrom = {}; ///< Address of an engine or cache store that may hold cached parts of the prompt; may be empty.
    std::string_view saveTo = {}; ///< Address of the cache store that saves what the engine computes; may be empty.
    std::optional<int> urgency = std::nullopt; ///< 0 is the most urgent.
};

/// The load that a target reports.
struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the target's machine, which it shares with others, relative to the usual time of 1; not set if the target does not state it.
    std::optional<double> pace = std::nullopt;
};

/// One value that a target states about itself in an answer.
struct StatedValue
{
    StatementKind kind{};
    std::optional<double> value; ///< Nothing if it can't be read.
    bool isAmbiguous = false; ///< It can't be read, or is stated more than once.
};

/// All that a target states about itself in an answer.
struct StatementFacts
{
    std::vector<StatedValue> statements; ///< One for each kind that is stated.
    std::vector<std::string> unknownFields; ///< Header fields that have the form of a statement and are not known.
};

/// Contents of the head of a target's answer.
struct AnswerFacts
{
    std::string requestId; ///< Of the request that is answered.
    bool isNotExecuted = false; ///< The target guarantees that it did not execute the request.
    bool isTargetMismatch = false; ///< The address belongs to another target, or the target has other weights than expected.
    std::string targetId; ///< Empty if the answer does not name it; with a mismatch, this counts as another target.
    std::optional<Duration> retryAfter; ///< With status 503: for how long the target wants no requests from this host.
    std::optional<TargetLoad> load;
    bool isLoadMalformed = false; ///< The load is stated in a form that can't be read, or only in part.
    StatementFacts stated;
};

/// The protocol between callers and the gateway.
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /// Reads the head of a request. Returns nothing and sets `reason` if a field is invalid.
    virtual std::optional<CallerRequest> read(const HttpHead &head, Reason &reason) const = 0;

    /// HTTP status and complete body of the answer to a refused or failed request.
    virtual int statusOf(const Reason &reason, RunState runState) const = 0;
    virtual std::string body(const Reason &reason, RunState runState) const = 0;

    /// Value of the Retry-After header field.
    virtual std::string retryAfter(Duration wait) const = 0;

    /// Path that the platform's load balancer polls for readiness.
    virtual std::string_view readyPath() const = 0;
};

/// The protocol between the gateway and targets.
class TargetProtocol
{
public:
    virtual ~TargetProtocol() = default;

    /// Builds the complete head of a request from the caller's, including the empty line at its end.
    virtual std::string writeHead(const HttpHead &head, const TargetRequest &request, std::size_t bodyBytes) const = 0;

    virtual AnswerFacts readAnswer(const HttpHead &head) const = 0;

    /// Whether a header field of an answer is meant for the gateway only and must not be forwarded to the caller.
    virtual bool isPrivateField(std::string_view name) const = 0;
};

} // namespace Lovageloft
