#include "tests/stand_ins/stand_in_service.h"

#include "core/log.h"
#include "tests/stand_ins/json_body.h"

namespace Lovageloft::StandIns
{

StandInService::StandInService(std::uint16_t port)
    : server_([this](Exchange &exchange) { handle(exchange); }, port)
{
}

const StandInServer &StandInService::server() const
{
    return server_;
}

void StandInService::handle(Exchange &exchange)
{
    if (exchange.path() == "/test/faults") {
        planFault(exchange);
    } else if (exchange.path() == "/test/record") {
        reportRecord(exchange);
    } else {
        serve(exchange);
    }
}

void StandInService::serve(Exchange &exchange)
{
    {
        const std::lock_guard lock(mutex_);
        ++received_;
        sawAuthorization_ = sawAuthorization_ || !exchange.header("Authorization").empty();
    }
    const StandInServiceFault fault = faults_.nextFault();
    if (fault.isRefused) {
        exchange.sendJson(503, R"({"error":"refused"})");
        return;
    }
    // Like a real service, it executes even if the caller closes the connection meanwhile.
    static_cast<void>(exchange.waitUntil(BootClock::now() + fault.delay));
    const std::string answer = execute(exchange);
    if (fault.losesAnswer) {
        exchange.closeConnection();
    } else if (fault.isFrozen) {
        exchange.freeze();
    } else {
        exchange.sendJson(200, answer);
    }
}

std::string StandInService::execute(const Exchange &exchange)
{
    const std::string key = exchange.header("Idempotency-Key");
    std::unique_lock lock(mutex_);
    ++executions_;
    const std::int64_t executions = key.empty() ? executions_ : ++executionsByKey_[key];
    lock.unlock();
    std::string json = R"({"executions":)" + std::to_string(executions) + R"(,"key":)";
    appendJsonString(json, key);
    json += R"(,"method":)";
    appendJsonString(json, exchange.method());
    json += R"(,"path":)";
    appendJsonString(json, exchange.path());
    return json + R"(,"body_bytes":)" + std::to_string(exchange.body().size()) + "}";
}

void StandInService::planFault(Exchange &exchange)
{
    const JsonBody body(exchange.body());
    StandInServiceFault fault;
    fault.isRefused = body.flag("refuse");
    fault.delay = std::chrono::milliseconds(body.number("delay_ms"));
    fault.losesAnswer = body.flag("lose_answer");
    fault.isFrozen = body.flag("freeze");
    faults_.set(fault, body.number("times", 1));
    exchange.sendJson(200, "{}");
}

void StandInService::reportRecord(Exchange &exchange)
{
    std::unique_lock lock(mutex_);
    std::string json = R"({"received":)" + std::to_string(received_) + R"(,"executions":)" + std::to_string(executions_) + R"(,"saw_authorization":)"
        + (sawAuthorization_ ? "true" : "false") + R"(,"keys":{)";
    std::string_view separator;
    for (const auto &[key, executions] : executionsByKey_) {
        json += separator;
        appendJsonString(json, key);
        json += ":" + std::to_string(executions);
        separator = ",";
    }
    lock.unlock();
    exchange.sendJson(200, json + "}}");
}

} // namespace Lovageloft::StandIns
