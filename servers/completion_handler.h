#pragma once

#include <optional>

#include "drivers/http_exchange.h"
#include "servers/caller_exchange.h"
#include "servers/completion_call.h"
#include "servers/refusal.h"
#include "servers/router_parts.h"
#include "servers/stream_relay.h"

namespace Lovageloft
{

/// Serves one completion as a chain of filters, each of which passes the request on or answers it finally.
class CompletionHandler
{
public:
    CompletionHandler(RouterParts &parts, CallerExchange &exchange, CompletionKind kind);

    /// Runs the request to its final answer.
    void handle();

private:
    using Filter = bool (CompletionHandler::*)();

    bool parse();
    bool authenticate();
    bool checkFresh();
    bool checkModel();
    bool charge();
    void settle();
    bool identifyPrefix();
    bool dispatch();

    std::optional<Assignment> place(Reason &reason);
    bool mayStillRun();
    RunState runState() const;
    SchedulerRequest schedulerRequest() const;
    RelayResult attempt(const Assignment &assignment, Reason &reason);
    RelayResult exchangeWith(const Assignment &assignment, Reason &reason);
    RelayResult relayAnswer(HttpExchange &engine, const HttpAnswerHead &head, Reason &reason);
    RelayResult relayWhole(HttpExchange &engine, Reason &reason);
    RelayResult passRefusalOn(HttpExchange &engine, const HttpAnswerHead &head, Reason &reason);
    HttpRequestHead engineRequest() const;
    bool mayTryAgain(const Reason &reason) const;
    bool refuse(const Refusal &refusal);
    void finish(ResultCode code);

    RouterParts &parts_;
    CallerExchange &exchange_;
    CompletionKind kind_;
    CompletionCall request_;
    TeamKey key_;
    std::optional<AnswerVerifier> verifier_;
    std::optional<StreamRelay> relay_;
    std::optional<ShareService::Charge> charge_;
    std::vector<BlockHash> blockDigests_;
    std::int64_t promptTokens_ = 0;
    bool hasAnswered_ = false; ///< A whole answer that is no stream.
    std::vector<std::string> failedEngines_;
    std::string lastEngine_;
    RequestId current_{}; ///< The attempt that runs.
};

} // namespace Lovageloft
