#include "servers/service_handler.h"

#include <algorithm>
#include <array>
#include <atomic>

#include "core/digest.h"
#include "core/log.h"
#include "servers/caller_authentication.h"
#include "servers/claim_service.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t answerLimit = 67'108'864;
constexpr std::size_t greatestIdempotencyKey = 256;
constexpr int serverErrors = 500;
constexpr double bytesPerToken = 4;
/// Targets tried for one repeatable call.
constexpr std::size_t attemptLimit = 3;

/// Where the next call of any service begins; spreads them over the targets.
std::atomic<std::size_t> nextTurn{0};

} // namespace

ServiceHandler::ServiceHandler(RouterParts &parts, CallerExchange &exchange)
    : parts_(parts)
    , exchange_(exchange)
{
    const std::string &uri = exchange.request.getURI();
    const std::size_t end = std::min(uri.find_first_of("/?", 1), uri.size());
    service_ = uri.substr(1, end - 1);
    path_ = uri.substr(end);
    if (!path_.starts_with('/')) {
        path_.insert(path_.begin(), '/');
    }
}

bool ServiceHandler::isService(const RouterParts &parts, std::string_view path)
{
    const std::string_view name = path.substr(std::min<std::size_t>(1, path.size()), path.find('/', 1) - 1);
    const auto state = parts.configuration.state();
    const auto &targets = state->targets();
    return std::any_of(
        targets.begin(), targets.end(), [name](const auto &item) { return item.second.kind == TargetKind::Service && item.second.service == name; });
}

RunState ServiceHandler::runStateBeforeClaim(const CallerExchange &exchange)
{
    return exchange.request.has("Idempotency-Key") ? RunState::MayHaveRun : RunState::NotRun;
}

void ServiceHandler::handle()
{
    constexpr std::array<Filter, 5> filters{
        &ServiceHandler::checkFresh,
        &ServiceHandler::authenticate,
        &ServiceHandler::findTargets,
        &ServiceHandler::charge,
        &ServiceHandler::run,
    };
    for (const Filter filter : filters) {
        if (!(this->*filter)()) {
            break;
        }
    }
}

bool ServiceHandler::checkFresh()
{
    return parts_.configuration.isFresh() || refuseUnclaimed({{ResultCode::NotFresh, {}}, RunState::NotRun, std::chrono::seconds(1)});
}

bool ServiceHandler::authenticate()
{
    Refusal refusal;
    auto key = authenticateCaller(parts_, exchange_, refusal);
    if (!key) {
        return refuseUnclaimed(refusal);
    }
    key_ = std::move(*key);
    return true;
}

bool ServiceHandler::findTargets()
{
    const auto state = parts_.configuration.state();
    for (const auto &[name, target] : state->targets()) {
        if (target.kind == TargetKind::Service && target.service == service_ && target.state == TargetState::Serving) {
            targets_.push_back(target);
        }
    }
    if (targets_.empty()) {
        return refuseUnclaimed({{ResultCode::NoTarget, {}}, RunState::NotRun, std::chrono::seconds(1)});
    }
    std::rotate(targets_.begin(), targets_.begin() + static_cast<std::ptrdiff_t>(nextTurn++ % targets_.size()), targets_.end());
    return true;
}

bool ServiceHandler::charge()
{
    // A service counts no tokens; its calls weigh as their text would for an engine.
    Refusal refusal;
    charge_ = parts_.shares.charge(key_.team, 1 + static_cast<double>(exchange_.body.size()) / bytesPerToken, refusal);
    if (!charge_) {
        return refuseUnclaimed(refusal);
    }
    parts_.shares.settle(*charge_, charge_->tokens);
    return true;
}

bool ServiceHandler::run()
{
    return isNonIdempotent() ? runOnce() : runRepeatable();
}

bool ServiceHandler::isNonIdempotent() const
{
    const std::string &method = exchange_.request.getMethod();
    return std::any_of(targets_.begin(), targets_.end(), [&](const TargetConfiguration &target) {
        return std::any_of(target.nonIdempotent.begin(), target.nonIdempotent.end(), [&](const NonIdempotentRoute &route) {
            return (route.method == method || route.method == "*") && path_.starts_with(route.pathPrefix);
        });
    });
}

bool ServiceHandler::runOnce()
{
    const std::string key = exchange_.request.get("Idempotency-Key", "");
    if (key.empty() || key.size() > greatestIdempotencyKey) {
        return refuse({{ResultCode::IdempotencyKeyRequired, {}}});
    }
    const std::string digest = sha256Hex(exchange_.request.getMethod() + '\n' + path_ + '\n' + exchange_.body);
    const ClaimCall call{key_.team, service_, key, digest};
    ClaimActions actions;
    actions.connect = [this](Reason &reason) { return connect(reason); };
    actions.mayRun = [this](Reason &reason) { return mayStillRun(reason); };
    // The answer is waited for even when the caller has gone: it is kept for its next try.
    actions.send = [this](Reason &reason) { return exchangeWithTarget(-1, reason); };
    const ClaimOutcome outcome = parts_.claims.run(call, actions);
    if (!outcome.answer) {
        return refuse({outcome.reason, outcome.run, outcome.retryAfter});
    }
    answer(*outcome.answer);
    return true;
}

bool ServiceHandler::runRepeatable()
{
    Reason reason;
    for (std::size_t attempt = 0; attempt < std::min(attemptLimit, targets_.size()); ++attempt) {
        if (!connect(reason)) {
            break;
        }
        if (!mayStillRun(reason)) {
            return refuse({reason, attempt == 0 ? RunState::NotRun : RunState::MayHaveRun});
        }
        const auto received = exchangeWithTarget(exchange_.socket, reason);
        if (received && received->status < serverErrors) {
            answer(*received);
            return true;
        }
        if (reason.code == ResultCode::CallerGone) {
            exchange_.response.setKeepAlive(false);
            finish(ResultCode::CallerGone);
            return false;
        }
        if (received && attempt + 1 == std::min(attemptLimit, targets_.size())) {
            answer(*received);
            return true;
        }
    }
    const bool wasSent = connection_ != nullptr && connection_->stage() != ExchangeStage::NotSent;
    return refuse({reason, wasSent ? RunState::MayHaveRun : RunState::NotRun, std::chrono::seconds(1)});
}

bool ServiceHandler::connect(Reason &reason)
{
    const ExchangeTimeouts timeouts{std::chrono::milliseconds(parts_.settings.connectTimeout), std::chrono::milliseconds(parts_.settings.engineTimeout)};
    while (nextTarget_ < targets_.size()) {
        const TargetConfiguration &target = targets_[nextTarget_++];
        auto connection = std::make_unique<HttpExchange>(parseHostAddress(target.address).value_or(HostAddress{}), timeouts);
        targetName_ = target.name;
        if (connection->connect(reason)) {
            connection_ = std::move(connection);
            return true;
        }
    }
    reason = {ResultCode::TargetUnreachable, {}};
    return false;
}

bool ServiceHandler::mayStillRun(Reason &reason) const
{
    if (!parts_.configuration.hasKey(key_)) {
        reason = {ResultCode::KeyWithdrawn, {}};
        return false;
    }
    if (!parts_.configuration.isFresh()) {
        reason = {ResultCode::NotFresh, {}};
        return false;
    }
    return true;
}

HttpRequestHead ServiceHandler::targetRequest() const
{
    HttpRequestHead head;
    head.method = exchange_.request.getMethod();
    head.path = path_;
    head.fields.push_back({"X-Request-Id", exchange_.id});
    for (const char *name : {"Idempotency-Key", "Accept"}) {
        if (exchange_.request.has(name)) {
            head.fields.push_back({name, exchange_.request.get(name)});
        }
    }
    head.contentType = exchange_.request.getContentType();
    head.body = exchange_.body;
    return head;
}

std::optional<ClaimAnswer> ServiceHandler::exchangeWithTarget(int callerSocket, Reason &reason)
{
    if (!connection_->send(targetRequest(), reason)) {
        return std::nullopt;
    }
    const auto head = connection_->readHead(callerSocket, reason);
    auto body = head ? connection_->readAll(answerLimit, callerSocket, reason) : std::nullopt;
    if (!body) {
        return std::nullopt;
    }
    return ClaimAnswer{head->status, head->contentType, std::move(*body), true};
}

void ServiceHandler::answer(const ClaimAnswer &answer)
{
    exchange_.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    exchange_.response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(exchange_.response.getStatus()));
    exchange_.response.setContentType(answer.contentType);
    exchange_.response.set("X-Request-Id", exchange_.id);
    if (!answer.isWhole) {
        exchange_.response.set("X-Answer-Kept", "status-only");
    }
    exchange_.response.sendBuffer(answer.body.data(), answer.body.size());
    finish(ResultCode::Ok);
}

bool ServiceHandler::refuseUnclaimed(Refusal refusal)
{
    refusal.run = runStateBeforeClaim(exchange_);
    return refuse(refusal);
}

bool ServiceHandler::refuse(const Refusal &refusal)
{
    sendRefusal(exchange_.response, refusal, exchange_.id, true);
    finish(refusal.reason.code);
    return false;
}

void ServiceHandler::finish(ResultCode code)
{
    const std::string_view name = resultCodeInfo(code).name;
    countRequest(parts_.metrics, code);
    writeLog(code == ResultCode::Ok ? LogLevel::Info : LogLevel::Warning,
             "service_call",
             {{"request_id", exchange_.id},
              {"team", key_.team},
              {"service", service_},
              {"target", targetName_},
              {"code", static_cast<std::int64_t>(code)},
              {"result", name},
              {"seconds", toSeconds(BootClock::now() - exchange_.arrival)}});
}

} // namespace Lovageloft
