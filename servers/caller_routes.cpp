#include "servers/caller_routes.h"

#include <array>
#include <set>

#include "core/log.h"
#include "servers/caller_authentication.h"
#include "servers/completion_handler.h"
#include "servers/refusal.h"
#include "servers/service_handler.h"

namespace Lovageloft
{

namespace
{

using Poco::Net::HTTPResponse;

void serveChat(RouterParts &parts, CallerExchange &exchange)
{
    CompletionHandler(parts, exchange, CompletionKind::Chat).handle();
}

void serveText(RouterParts &parts, CallerExchange &exchange)
{
    CompletionHandler(parts, exchange, CompletionKind::Text).handle();
}

void serveModels(RouterParts &parts, CallerExchange &exchange)
{
    Refusal refusal;
    if (!authenticateCaller(parts, exchange, refusal)) {
        sendRefusal(exchange.response, refusal, exchange.id, true);
        return;
    }
    std::set<std::string_view> models;
    const auto state = parts.configuration.state();
    for (const auto &[name, target] : state->targets()) {
        if (target.kind == TargetKind::Engine) {
            models.insert(target.model);
        }
    }
    std::string body = R"({"object":"list","data":[)";
    for (const std::string_view model : models) {
        body += body.back() == '[' ? "{\"id\":" : ",{\"id\":";
        appendJsonString(body, model);
        body += R"(,"object":"model","created":0,"owned_by":"lovageloft"})";
    }
    sendJson(exchange.response, HTTPResponse::HTTP_OK, body + "]}");
}

void serveHealth(RouterParts &, CallerExchange &exchange)
{
    sendJson(exchange.response, HTTPResponse::HTTP_OK, R"({"alive":true})");
}

void serveReady(RouterParts &parts, CallerExchange &exchange)
{
    if (parts.drain.phase() != DrainPhase::Serving) {
        sendRefusal(exchange.response, {{ResultCode::Draining, {}}}, exchange.id, false);
        return;
    }
    if (!parts.configuration.isFresh()) {
        sendRefusal(exchange.response, {{ResultCode::NotFresh, {}}, RunState::NotRun, std::chrono::seconds(1)}, exchange.id, false);
        return;
    }
    sendJson(exchange.response, HTTPResponse::HTTP_OK, R"({"ready":true})");
}

struct Route
{
    std::string_view path;
    std::string_view method;
    void (*serve)(RouterParts &, CallerExchange &);
};

constexpr std::array routes = std::to_array<Route>({
    {"/v1/chat/completions", "POST", &serveChat},
    {"/v1/completions", "POST", &serveText},
    {"/v1/models", "GET", &serveModels},
    {"/health", "GET", &serveHealth},
    {"/ready", "GET", &serveReady},
});

/// Why a path leads nowhere. A host that has just started knows no services yet; callers of one would take a plain
/// "unknown path" for the final word.
Refusal unknownPath(const RouterParts &parts)
{
    if (parts.configuration.isFresh()) {
        return {{ResultCode::UnknownPath, {}}};
    }
    return {{ResultCode::NotFresh, {}}, RunState::NotRun, std::chrono::seconds(1)};
}

} // namespace

void routeCallerExchange(RouterParts &parts, CallerExchange &exchange)
{
    const std::string_view uri = exchange.request.getURI();
    const std::string_view path = uri.substr(0, uri.find('?'));
    bool isKnown = false;
    for (const Route &route : routes) {
        if (route.path != path) {
            continue;
        }
        isKnown = true;
        if (route.method == exchange.request.getMethod()) {
            route.serve(parts, exchange);
            return;
        }
    }
    if (!isKnown && ServiceHandler::isService(parts, path)) {
        ServiceHandler(parts, exchange).handle();
        return;
    }
    Refusal refusal = isKnown ? Refusal{{ResultCode::MethodNotAllowed, {}}} : unknownPath(parts);
    refusal.run = isKnown ? RunState::NotRun : ServiceHandler::runStateBeforeClaim(exchange);
    countRequest(parts.metrics, refusal.reason.code);
    sendRefusal(exchange.response, refusal, exchange.id, true);
}

} // namespace Lovageloft
