#include "servers/operator_routes.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <optional>
#include <string>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <unistd.h>

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

/// A number in the query part of a URI.
std::optional<std::int64_t> queryNumber(const std::string &uri, std::string_view name)
{
    for (const auto &[key, value] : Poco::URI(uri).getQueryParameters()) {
        std::int64_t number = 0;
        if (key == name && Poco::NumberParser::tryParse64(value, number)) {
            return number;
        }
    }
    return std::nullopt;
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
    if (!call.parts.configuration.isFresh()) {
        sendRefusal(call.response, {{ResultCode::NotFresh, {}}, RunState::NotRun, std::chrono::seconds(1)}, "", true);
        return;
    }
    sendJson(call.response, HTTPResponse::HTTP_OK, R"({"ready":true})");
}

void serveMetrics(const OperatorCall &call)
{
    call.parts.metrics.set("lovageloft_fresh", call.parts.configuration.isFresh() ? 1 : 0);
    call.parts.metrics.set("lovageloft_configuration_version", static_cast<double>(call.parts.configuration.version()));
    call.parts.metrics.set("lovageloft_requests_running", static_cast<double>(call.parts.drain.running()));
    call.parts.dispatcher.inspect(
        [&call](const RequestScheduler &scheduler) { call.parts.metrics.set("lovageloft_requests_waiting", static_cast<double>(scheduler.waiting())); });
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
    status->set("fresh", call.parts.configuration.isFresh());
    status->set("version", call.parts.configuration.version());
    status->set("in_force", call.parts.configuration.ownAnswer().inForceVersion);
    status->set("running", call.parts.drain.running());
    status->set("teams", state->teams().size());
    status->set("targets", state->targets().size());
    status->set("hosts", state->hosts().size());
    status->set("requests_ok", call.parts.metrics.counter("lovageloft_requests_total", {{"code", "ok"}}));
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
        row->set("tokens_here", call.parts.shares.balance(name));
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

void serveHosts(const OperatorCall &call)
{
    Array::Ptr rows = new Array;
    const auto state = call.parts.configuration.state();
    const auto lacking = call.parts.configuration.entryStatus(call.parts.configuration.version()).lacking;
    for (const HostEntry &host : state->hosts()) {
        Object::Ptr row = ordered();
        row->set("host", host.name);
        row->set("peer_address", host.peerAddress);
        row->set("data_centre", host.dataCentre);
        row->set("holds_newest", std::find(lacking.begin(), lacking.end(), host.name) == lacking.end());
        rows->add(row);
    }
    Object::Ptr answer = ordered();
    answer->set("hosts", rows);
    sendObject(call, answer);
}

Array::Ptr auditRows(const std::vector<AuditLine> &lines)
{
    Array::Ptr rows = new Array;
    for (const AuditLine &line : lines) {
        Object::Ptr row = ordered();
        row->set("sequence", line.sequence);
        row->set("time_ms", line.committedAt);
        row->set("operator", line.operatorName);
        row->set("ticket", line.ticket);
        row->set("object", line.change.object);
        row->set("before", line.change.before);
        row->set("after", line.change.after);
        rows->add(row);
    }
    return rows;
}

void serveAudit(const OperatorCall &call)
{
    constexpr std::int64_t entriesShown = 100;
    const std::int64_t last = call.parts.configuration.version();
    const std::int64_t first = queryNumber(call.request.getURI(), "from").value_or(std::max<std::int64_t>(1, last - entriesShown + 1));
    Reason reason;
    const auto lines = call.parts.tickets.audit(first, first + entriesShown - 1, reason);
    if (!lines) {
        sendRefusal(call.response, {reason}, "", true);
        return;
    }
    Object::Ptr answer = ordered();
    answer->set("audit", auditRows(*lines));
    sendObject(call, answer);
}

void setEntryStatus(const OperatorCall &call, std::int64_t sequence, Object &answer)
{
    const EntryStatus status = call.parts.configuration.entryStatus(sequence);
    answer.set("sequence", sequence);
    answer.set("state", status.isInForce ? "in_force" : "committed");
    Array::Ptr lacking = new Array;
    for (const std::string &host : status.lacking) {
        lacking->add(host);
    }
    answer.set("hosts_lacking", lacking);
}

void showTicket(const OperatorCall &call)
{
    constexpr std::int64_t entriesSearched = 100;
    const auto number = queryNumber(call.request.getURI(), "ticket").value_or(0);
    const std::int64_t last = call.parts.configuration.version();
    Reason reason;
    auto lines = call.parts.tickets.audit(std::max<std::int64_t>(1, last - entriesSearched + 1), last, reason);
    if (!lines) {
        sendRefusal(call.response, {reason}, "", true);
        return;
    }
    std::erase_if(*lines, [number](const AuditLine &line) { return line.ticket != number; });
    if (lines->empty()) {
        sendRefusal(call.response, {{ResultCode::StoreNotFound, "no such ticket among the last 100 entries"}}, "", true);
        return;
    }
    Object::Ptr answer = ordered();
    answer->set("ticket", number);
    setEntryStatus(call, lines->back().sequence, *answer);
    answer->set("objects", auditRows(*lines));
    sendObject(call, answer);
}

void applyTicket(const OperatorCall &call)
{
    std::string text;
    Poco::StreamCopier::copyToString(call.request.stream(), text);
    Reason reason;
    const auto ticket = parseTicket(text, reason);
    const auto entry = ticket ? call.parts.tickets.apply(*ticket, reason) : std::nullopt;
    if (!entry) {
        const bool isUnknown = reason.code == ResultCode::StoreAnswerLost;
        sendRefusal(call.response, {reason, isUnknown ? RunState::MayHaveRun : RunState::NotRun}, "", true);
        return;
    }
    Object::Ptr answer = ordered();
    answer->set("ticket", ticket->number);
    setEntryStatus(call, entry->sequence, *answer);
    sendObject(call, answer);
}

void startDrain(const OperatorCall &call)
{
    writeLog(LogLevel::Info, "drain_asked_by_operator");
    sendJson(call.response, HTTPResponse::HTTP_OK, R"({"state":"draining"})");
    // The main thread waits for this signal, whoever sends it.
    ::kill(::getpid(), SIGTERM);
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
    {"/operator/hosts", "GET", &serveHosts},
    {"/operator/audit", "GET", &serveAudit},
    {"/operator/tickets", "POST", &applyTicket},
    {"/operator/tickets", "GET", &showTicket},
    {"/operator/drain", "POST", &startDrain},
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
