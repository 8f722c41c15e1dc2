#include "servers/operator_routes.h"

#include <array>
#include <string>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/StreamCopier.h>

#include "core/digest.h"
#include "core/log.h"
#include "servers/caller_exchange.h"
#include "servers/refusal.h"

namespace Lovageloft
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

/// What one operator call works on.
struct OperatorCall
{
    RouterParts &parts;
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
};

Object::Ptr ordered()
{
    return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

void sendObject(const OperatorCall &call, const Object::Ptr &object)
{
    std::ostringstream out;
    object->stringify(out);
    sendJson(call.response, HTTPResponse::HTTP_OK, out.str());
}

std::string_view phaseName(DrainPhase phase)
{
    constexpr std::array<std::string_view, 3> names{"serving", "announced", "closing"};
    return names.at(static_cast<std::size_t>(phase));
}

void serveHealth(const OperatorCall &call)
{
    sendJson(call.response, HTTPResponse::HTTP_OK, R"({"alive":true})");
}

void serveReady(const OperatorCall &call)
{
    if (call.parts.drain.phase() != DrainPhase::Serving) {
        sendRefusal(call.response, {{ResultCode::Draining, {}}}, "", true);
        return;
    }
    sendJson(call.response, HTTPResponse::HTTP_OK, R"({"ready":true})");
}

void serveMetrics(const OperatorCall &call)
{
    const std::string text = call.parts.metrics.text();
    call.response.setContentType("text/plain; version=0.0.4");
    call.response.sendBuffer(text.data(), text.size());
}

void serveStatus(const OperatorCall &call)
{
    const auto state = call.parts.configuration.state();
    Object::Ptr status = ordered();
    status->set("host", call.parts.settings.hostName);
    status->set("phase", std::string(phaseName(call.parts.drain.phase())));
    status->set("running", call.parts.drain.running());
    status->set("teams", state->teams().size());
    status->set("targets", state->targets().size());
    status->set("hosts", state->hosts().size());
    status->set("requests_ok", call.parts.metrics.counter("lovageloft_requests_total{code=\"ok\"}"));
    sendObject(call, status);
}

void serveTeams(const OperatorCall &call)
{
    Array::Ptr rows = new Array;
    const auto state = call.parts.configuration.state();
    for (const auto &[name, team] : state->teams()) {
        Object::Ptr row = ordered();
        row->set("team", name);
        row->set("rate", team.rate);
        row->set("burst", team.burst);
        row->set("keys", team.keys.size());
        row->set("ticket", state->lastTicket("team/" + name));
        rows->add(row);
    }
    Object::Ptr answer = ordered();
    answer->set("teams", rows);
    sendObject(call, answer);
}

void serveTargets(const OperatorCall &call)
{
    Array::Ptr rows = new Array;
    const auto state = call.parts.configuration.state();
    for (const auto &[name, target] : state->targets()) {
        Object::Ptr row = ordered();
        row->set("target", name);
        row->set("type", target.kind == TargetKind::Engine ? "engine" : "service");
        row->set("serves", target.kind == TargetKind::Engine ? target.model : target.service);
        row->set("address", target.address);
        row->set("state", target.state == TargetState::Leaving ? "leaving" : "serving");
        row->set("ticket", state->lastTicket("target/" + name));
        rows->add(row);
    }
    Object::Ptr answer = ordered();
    answer->set("targets", rows);
    sendObject(call, answer);
}

void applyTicket(const OperatorCall &call)
{
    std::string text;
    Poco::StreamCopier::copyToString(call.request.stream(), text);
    Reason reason;
    const auto ticket = parseTicket(text, reason);
    if (!ticket || !call.parts.configuration.apply(*ticket, reason)) {
        sendRefusal(call.response, {reason}, "", true);
        return;
    }
    writeLog(LogLevel::Info, "ticket_accepted", {{"ticket", ticket->number}, {"operator", ticket->operatorName}});
    Object::Ptr answer = ordered();
    answer->set("ticket", ticket->number);
    answer->set("state", "committed");
    sendObject(call, answer);
}

struct Route
{
    std::string_view path;
    std::string_view method;
    void (*serve)(const OperatorCall &);
    bool needsKey = true;
};

constexpr std::array routes = std::to_array<Route>({
    {"/health", "GET", &serveHealth, false},
    {"/ready", "GET", &serveReady, false},
    {"/metrics", "GET", &serveMetrics, false},
    {"/operator/status", "GET", &serveStatus},
    {"/operator/teams", "GET", &serveTeams},
    {"/operator/targets", "GET", &serveTargets},
    {"/operator/tickets", "POST", &applyTicket},
});

bool hasOperatorKey(const OperatorCall &call)
{
    const std::string_view key = bearerKey(call.request);
    const std::string &digest = call.parts.settings.operatorKeyDigest;
    return !key.empty() && !digest.empty() && equalInConstantTime(sha256Hex(key), digest);
}

} // namespace

void routeOperatorCall(RouterParts &parts, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const OperatorCall call{parts, request, response};
    const std::string_view uri = request.getURI();
    const std::string_view path = uri.substr(0, uri.find('?'));
    ResultCode code = ResultCode::UnknownPath;
    for (const Route &route : routes) {
        if (route.path != path) {
            continue;
        }
        if (route.method != request.getMethod()) {
            code = ResultCode::MethodNotAllowed;
            continue;
        }
        if (route.needsKey && !hasOperatorKey(call)) {
            code = ResultCode::OperatorKeyRequired;
            break;
        }
        route.serve(call);
        return;
    }
    sendRefusal(response, {{code, {}}}, "", false);
}

} // namespace Lovageloft
