#include "servers/completion_handler.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/log.h"
#include "servers/caller_authentication.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t answerLimit = 67'108'864;
/// How often a waiting request looks whether its caller is still there.
constexpr std::chrono::milliseconds hangUpCheck{50};
/// Engines tried for one request; each further one costs the fleet a prefill.
constexpr std::size_t attemptLimit = 3;

} // namespace

CompletionHandler::CompletionHandler(RouterParts &parts, CallerExchange &exchange, CompletionKind kind)
    : parts_(parts)
    , exchange_(exchange)
    , kind_(kind)
{
}

void CompletionHandler::handle()
{
    constexpr std::array<Filter, 7> filters{
        &CompletionHandler::checkFresh,
        &CompletionHandler::authenticate,
        &CompletionHandler::parse,
        &CompletionHandler::checkModel,
        &CompletionHandler::identifyPrefix,
        &CompletionHandler::charge,
        &CompletionHandler::dispatch,
    };
    for (const Filter filter : filters) {
        if (!(this->*filter)()) {
            break;
        }
    }
    settle();
}

bool CompletionHandler::checkFresh()
{
    // A host cut off from the store and the others may hold a key that was withdrawn long ago.
    return parts_.configuration.isFresh() || refuse({{ResultCode::NotFresh, {}}, runState(), std::chrono::seconds(1)});
}

bool CompletionHandler::charge()
{
    const auto cost = static_cast<double>(promptTokens_ + request_.maxTokens * request_.choices);
    Refusal refusal;
    charge_ = parts_.shares.charge(key_.team, cost, refusal);
    return charge_ || refuse(refusal);
}

void CompletionHandler::settle()
{
    if (!charge_) {
        return;
    }
    const TokenUsage usage = verifier_ ? verifier_->usage() : TokenUsage{};
    double used = 0;
    if (usage.promptTokens > 0) {
        used = static_cast<double>(usage.promptTokens + usage.completionTokens);
    } else if (relay_ && relay_->hasBegun()) {
        used = static_cast<double>(promptTokens_ + verifier_->contentChunks());
    } else if (hasAnswered_) {
        used = charge_->tokens;
    }
    parts_.shares.settle(*charge_, used);
}

bool CompletionHandler::authenticate()
{
    Refusal refusal;
    auto key = authenticateCaller(parts_, exchange_, refusal);
    if (!key) {
        return refuse(refusal);
    }
    key_ = std::move(*key);
    return true;
}

bool CompletionHandler::parse()
{
    Reason reason;
    auto request = parseCompletionCall(kind_, std::move(exchange_.body), reason);
    if (!request) {
        return refuse({reason});
    }
    request_ = std::move(*request);
    return true;
}

bool CompletionHandler::checkModel()
{
    const auto state = parts_.configuration.state();
    const auto &targets = state->targets();
    const bool isServed = std::any_of(
        targets.begin(), targets.end(), [this](const auto &item) { return item.second.kind == TargetKind::Engine && item.second.model == request_.model; });
    return isServed || refuse({{ResultCode::UnknownModel, {}}});
}

bool CompletionHandler::identifyPrefix()
{
    digestBlocks(request_.prompt, blockDigests_);
    // Nothing else looks at the text; a long queue would hold it twice.
    promptTokens_ = request_.promptTokens();
    request_.prompt = {};
    return true;
}

bool CompletionHandler::dispatch()
{
    verifier_.emplace(ExpectedAnswer{exchange_.id, request_.choices, request_.wantsUsage});
    relay_.emplace(exchange_, *verifier_, [this] { parts_.dispatcher.onFirstToken(current_, std::nullopt); });
    Reason reason;
    while (const auto assignment = place(reason)) {
        lastEngine_ = assignment->engine;
        const RelayResult result = attempt(*assignment, reason);
        if (result == RelayResult::Done) {
            finish(ResultCode::Ok);
            return true;
        }
        if (result == RelayResult::CallerGone) {
            finish(ResultCode::CallerGone);
            exchange_.response.setKeepAlive(false);
            return false;
        }
        failedEngines_.push_back(assignment->engine);
        parts_.metrics.add("lovageloft_engine_failures_total", {{"code", resultCodeInfo(reason.code).name}});
        if (!mayTryAgain(reason)) {
            return refuse({reason, RunState::MayHaveRun, std::chrono::seconds(1)});
        }
    }
    return false;
}

std::optional<Assignment> CompletionHandler::place(Reason &reason)
{
    RequestId id{};
    const auto pending = parts_.dispatcher.submit(schedulerRequest(), id);
    if (pending == nullptr) {
        refuse({{ResultCode::Overloaded, {}}, runState(), std::chrono::seconds(1)});
        return std::nullopt;
    }
    while (true) {
        const auto outcome = pending->wait(hangUpCheck);
        if (!outcome) {
            if (isClosedByPeer(exchange_.socket)) {
                parts_.dispatcher.cancel(id);
                finish(ResultCode::CallerGone);
                return std::nullopt;
            }
            continue;
        }
        if (const auto *refusal = std::get_if<Refusal>(&*outcome)) {
            refuse({failedEngines_.empty() ? refusal->reason : reason, runState(), refusal->retryAfter});
            return std::nullopt;
        }
        if (!mayStillRun()) {
            parts_.dispatcher.onEnded(id, DispatchResult::Cancelled);
            return std::nullopt;
        }
        return std::get<Assignment>(*outcome);
    }
}

/// Checks again what may have changed while the request waited, right before its bytes leave.
bool CompletionHandler::mayStillRun()
{
    if (!parts_.configuration.hasKey(key_)) {
        return refuse({{ResultCode::KeyWithdrawn, {}}, runState()});
    }
    return checkFresh();
}

/// What a refusal may say: once an engine has failed the request, that one may have run it.
RunState CompletionHandler::runState() const
{
    return failedEngines_.empty() ? RunState::NotRun : RunState::MayHaveRun;
}

SchedulerRequest CompletionHandler::schedulerRequest() const
{
    SchedulerRequest request;
    request.team = key_.team;
    request.keyId = key_.keyId;
    request.cacheSalt = key_.team;
    request.model = request_.model;
    request.priority = request_.priority > 0 ? Priority::High : request_.priority < 0 ? Priority::Low : Priority::Normal;
    request.blockDigests = blockDigests_;
    request.promptTokens = static_cast<std::uint32_t>(promptTokens_);
    request.outputTokens = static_cast<std::uint32_t>(request_.maxTokens * request_.choices);
    request.deadline = exchange_.arrival + std::chrono::milliseconds(parts_.settings.queueDeadline);
    request.failedEngines = failedEngines_;
    request.isResume = relay_->hasBegun();
    return request;
}

HttpRequestHead CompletionHandler::engineRequest() const
{
    HttpRequestHead head;
    head.method = "POST";
    head.path = kind_ == CompletionKind::Chat ? "/v1/chat/completions" : "/v1/completions";
    head.fields.push_back({"X-Request-Id", exchange_.id});
    head.fields.push_back({"X-Cache-Salt", key_.team});
    if (verifier_->contentChunks() > 0) {
        head.fields.push_back({"X-Resume-From", std::to_string(verifier_->contentChunks())});
    }
    head.body = request_.body;
    return head;
}

RelayResult CompletionHandler::attempt(const Assignment &assignment, Reason &reason)
{
    current_ = assignment.id;
    const RelayResult result = exchangeWith(assignment, reason);
    const TokenUsage &usage = verifier_->usage();
    if (result == RelayResult::Done && usage.promptTokens > 0) {
        // Too late for the time, but the cached count comes only with the usage at the end.
        parts_.metrics.add("lovageloft_prompt_tokens_total", {}, static_cast<std::uint64_t>(usage.promptTokens));
        parts_.metrics.add("lovageloft_cached_tokens_total", {}, static_cast<std::uint64_t>(usage.cachedTokens));
    }
    const DispatchResult end = result == RelayResult::Done ? DispatchResult::Finished
        : result == RelayResult::Failed                    ? DispatchResult::Failed
                                                           : DispatchResult::Cancelled;
    parts_.dispatcher.onEnded(assignment.id, end);
    return result;
}

RelayResult CompletionHandler::exchangeWith(const Assignment &assignment, Reason &reason)
{
    const ExchangeTimeouts timeouts{std::chrono::milliseconds(parts_.settings.connectTimeout), std::chrono::milliseconds(parts_.settings.engineTimeout)};
    HttpExchange engine(assignment.address, timeouts);
    if (!engine.connect(reason) || !engine.send(engineRequest(), reason)) {
        return RelayResult::Failed;
    }
    const auto head = engine.readHead(exchange_.socket, reason);
    if (!head) {
        return reason.code == ResultCode::CallerGone ? RelayResult::CallerGone : RelayResult::Failed;
    }
    return relayAnswer(engine, *head, reason);
}

RelayResult CompletionHandler::relayAnswer(HttpExchange &engine, const HttpAnswerHead &head, Reason &reason)
{
    constexpr int okStatus = 200;
    constexpr int clientErrors = 400;
    constexpr int tooManyRequests = 429;
    constexpr int serverErrors = 500;
    if (head.status == okStatus) {
        return request_.isStream ? relay_->relay(engine, reason) : relayWhole(engine, reason);
    }
    if (head.status >= clientErrors && head.status < serverErrors && head.status != tooManyRequests && !relay_->hasBegun()) {
        return passRefusalOn(engine, head, reason);
    }
    reason = {ResultCode::TargetRefused, "the engine answered with status " + std::to_string(head.status)};
    return RelayResult::Failed;
}

RelayResult CompletionHandler::relayWhole(HttpExchange &engine, Reason &reason)
{
    const auto body = engine.readAll(answerLimit, exchange_.socket, reason);
    if (!body) {
        return reason.code == ResultCode::CallerGone ? RelayResult::CallerGone : RelayResult::Failed;
    }
    if (!verifier_->onAnswer(*body, reason)) {
        return RelayResult::Failed;
    }
    parts_.dispatcher.onFirstToken(current_, static_cast<std::uint32_t>(verifier_->usage().cachedTokens));
    hasAnswered_ = true;
    exchange_.response.set("X-Request-Id", exchange_.id);
    sendJson(exchange_.response, Poco::Net::HTTPResponse::HTTP_OK, *body);
    return RelayResult::Done;
}

RelayResult CompletionHandler::passRefusalOn(HttpExchange &engine, const HttpAnswerHead &head, Reason &reason)
{
    const auto body = engine.readAll(answerLimit, exchange_.socket, reason);
    if (!body) {
        return reason.code == ResultCode::CallerGone ? RelayResult::CallerGone : RelayResult::Failed;
    }
    sendJson(exchange_.response, head.status, *body);
    return RelayResult::Done;
}

bool CompletionHandler::mayTryAgain(const Reason &reason) const
{
    if (reason.code == ResultCode::Ok || failedEngines_.size() >= attemptLimit) {
        return false;
    }
    return !relay_->hasBegun() || verifier_->isResumable();
}

bool CompletionHandler::refuse(const Refusal &refusal)
{
    if (relay_ && relay_->hasBegun()) {
        relay_->endWithError(refusalBody(refusal, exchange_.id));
    } else {
        sendRefusal(exchange_.response, refusal, exchange_.id, true);
    }
    finish(refusal.reason.code);
    return false;
}

void CompletionHandler::finish(ResultCode code)
{
    const std::string_view name = resultCodeInfo(code).name;
    countRequest(parts_.metrics, code);
    const TokenUsage usage = verifier_ ? verifier_->usage() : TokenUsage{};
    if (relay_ && relay_->hasBegun()) {
        parts_.metrics.observe("lovageloft_first_token_seconds", {}, toSeconds(relay_->firstContent() - exchange_.arrival));
    }
    const LogLevel level = code == ResultCode::Ok ? LogLevel::Info : LogLevel::Warning;
    writeLog(level,
             "request",
             {{"request_id", exchange_.id},
              {"team", key_.team},
              {"target", lastEngine_},
              {"code", static_cast<std::int64_t>(code)},
              {"result", name},
              {"prompt_tokens", usage.promptTokens},
              {"completion_tokens", usage.completionTokens},
              {"cached_tokens", usage.cachedTokens},
              {"seconds", toSeconds(BootClock::now() - exchange_.arrival)}});
}

} // namespace Lovageloft
