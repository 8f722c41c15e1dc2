#include "tests/stand_ins/stand_in_engine.h"

#include <algorithm>
#include <ctime>
#include <string_view>

#include "core/digest.h"
#include "core/log.h"
#include "tests/stand_ins/json_body.h"

namespace Lovageloft::StandIns
{

namespace
{

constexpr std::int64_t bytesPerToken = 4;
constexpr std::size_t incarnationBytes = 8;
/// Tokens after which a stream counts as streaming, as its caller has certainly received some of them.
constexpr std::int64_t tokensUnderWay = 10;

std::int64_t firstTokenOf(const Exchange &exchange)
{
    const std::string from = exchange.header("X-Resume-From");
    return from.empty() ? 0 : std::max<std::int64_t>(0, std::atoll(from.c_str()));
}

std::string hex(std::uint64_t number)
{
    constexpr int digits = 16;
    std::string text(digits, '0');
    for (int i = digits - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = "0123456789abcdef"[number % 16];
        number /= 16;
    }
    return text;
}

bool isReached(const std::optional<std::int64_t> &tokens, std::int64_t sent)
{
    return tokens.has_value() && sent >= *tokens;
}

} // namespace

StandInEngine::StandInEngine(const StandInEngineOptions &options)
    : options_(options)
    , incarnation_(randomHex(incarnationBytes))
    , weights_(options.weights)
    , cache_(options.cacheBlocks)
    , publishedLoads_{TimedLoad{}}
    , server_([this](Exchange &exchange) { handle(exchange); }, options.port)
{
}

const StandInServer &StandInEngine::server() const
{
    return server_;
}

void StandInEngine::handle(Exchange &exchange)
{
    struct Route
    {
        std::string_view method;
        std::string_view path;
        void (StandInEngine::*handler)(Exchange &);
    };

    static constexpr Route routes[] = {
        {"GET", "/control/load", &StandInEngine::reportLoad},
        {"GET", "/control/cache-events", &StandInEngine::reportCacheEvents},
        {"POST", "/control/orders", &StandInEngine::executeOrder},
        {"POST", "/test/restart", &StandInEngine::restart},
        {"POST", "/test/faults", &StandInEngine::planFault},
        {"GET", "/test/record", &StandInEngine::reportRecord},
    };
    if (!exchange.header("Authorization").empty()) {
        const std::lock_guard lock(mutex_);
        record_.sawAuthorization = true;
    }
    if (exchange.method() == "POST" && exchange.path() == "/v1/chat/completions") {
        complete(exchange, true);
        return;
    }
    if (exchange.method() == "POST" && exchange.path() == "/v1/completions") {
        complete(exchange, false);
        return;
    }
    for (const Route &route : routes) {
        if (route.method == exchange.method() && route.path == exchange.path()) {
            (this->*route.handler)(exchange);
            return;
        }
    }
    exchange.sendJson(404, R"({"error":{"message":"no such path"}})");
}

void StandInEngine::complete(Exchange &exchange, bool isChat)
{
    recordStart(exchange);
    const StandInEngineFault fault = faults_.nextFault();
    if (!exchange.waitUntil(BootClock::now() + fault.delay)) {
        recordOutcome(Outcome::Cancelled);
        return;
    }
    if (fault.isRefused) {
        exchange.sendJson(503, R"({"error":{"message":"refused","type":"server_error"}})");
        recordOutcome(Outcome::Faulted);
        return;
    }
    const std::optional<CompletionRequest> request = parseCompletionRequest(exchange.body(), isChat);
    if (!request) {
        exchange.sendJson(400, R"({"error":{"message":"malformed body","type":"invalid_request_error"}})");
        recordOutcome(Outcome::Faulted);
        return;
    }
    recordOutcome(answer(exchange, *request, fault));
}

StandInEngine::Outcome StandInEngine::answer(Exchange &exchange, const CompletionRequest &request, const StandInEngineFault &fault)
{
    CompletionUsage usage;
    usage.promptTokens = static_cast<std::int64_t>(request.prompt.size()) / bytesPerToken;
    usage.completionTokens = std::max<std::int64_t>(0, request.maxCompletionTokens);
    {
        const std::lock_guard lock(mutex_);
        usage.cachedTokens = static_cast<std::int64_t>(cache_.use(exchange.header("X-Cache-Salt"), request.prompt)) / bytesPerToken;
    }
    if (!prefill(exchange, usage.promptTokens - usage.cachedTokens)) {
        return Outcome::Cancelled;
    }
    const Outcome outcome = request.isStream ? stream(exchange, request, usage, fault) : sendWhole(exchange, request, usage, fault);
    const std::lock_guard lock(mutex_);
    --load_.running;
    publishLoad();
    return outcome;
}

StandInEngine::Outcome
StandInEngine::stream(Exchange &exchange, const CompletionRequest &request, const CompletionUsage &usage, const StandInEngineFault &fault)
{
    const CompletionWriter writer(makeHeading(exchange, request, fault));
    const std::int64_t first = firstTokenOf(exchange);
    std::ostream &out = exchange.startStream("text/event-stream");
    TimePoint next = BootClock::now();
    for (std::int64_t token = first;; ++token) {
        const std::int64_t sent = token - first;
        if (isReached(fault.dropAfterTokens, sent)) {
            exchange.closeConnection();
            return Outcome::Faulted;
        }
        if (isReached(fault.malformedAfterTokens, sent)) {
            out << "data: {\"id\":\"\n\n" << std::flush;
            return Outcome::Faulted;
        }
        if (isReached(fault.freezeAfterTokens, sent)) {
            out << std::flush; // The head of the response is still sent.
            exchange.freeze();
            return Outcome::Faulted;
        }
        if (token >= usage.completionTokens) {
            break;
        }
        next += options_.tokenDelay;
        if (!exchange.waitUntil(next) || !(out << writer.tokenEvent(token, token == 0) << std::flush)) {
            return Outcome::Cancelled;
        }
        if (sent == tokensUnderWay) {
            recordStreaming();
        }
    }
    out << writer.finishEvent();
    if (request.wantsUsage) {
        out << writer.usageEvent(usage);
    }
    if (fault.hasNoDone) {
        return Outcome::Faulted;
    }
    return out << "data: [DONE]\n\n" << std::flush ? Outcome::Completed : Outcome::Cancelled;
}

StandInEngine::Outcome
StandInEngine::sendWhole(Exchange &exchange, const CompletionRequest &request, const CompletionUsage &usage, const StandInEngineFault &fault)
{
    const std::int64_t first = firstTokenOf(exchange);
    const std::int64_t tokens = std::max<std::int64_t>(0, usage.completionTokens - first);
    if (!exchange.waitUntil(BootClock::now() + options_.tokenDelay * tokens)) {
        return Outcome::Cancelled;
    }
    const std::string json = CompletionWriter(makeHeading(exchange, request, fault)).wholeAnswer(first, usage);
    if (fault.freezeAfterTokens) {
        exchange.freeze();
        return Outcome::Faulted;
    }
    if (fault.dropAfterTokens) {
        exchange.sendHalf(json);
        return Outcome::Faulted;
    }
    exchange.sendJson(200, fault.malformedAfterTokens ? std::string_view(json).substr(0, json.size() / 2) : json);
    return fault.malformedAfterTokens ? Outcome::Faulted : Outcome::Completed;
}

CompletionHeading StandInEngine::makeHeading(const Exchange &exchange, const CompletionRequest &request, const StandInEngineFault &fault)
{
    std::string id = exchange.header("X-Request-Id");
    if (id.empty()) {
        const std::lock_guard lock(mutex_);
        id = "cmpl-" + std::to_string(++lastId_);
    }
    return {fault.isCrossed ? "crossed-" + id : id, request.model.empty() ? options_.model : request.model, std::time(nullptr), request.isChat};
}

bool StandInEngine::prefill(const Exchange &exchange, std::int64_t tokens)
{
    std::unique_lock lock(mutex_);
    ++load_.waiting;
    load_.queuedPrefillTokens += tokens;
    publishLoad();
    prefillFreeAt_ = std::max(prefillFreeAt_, BootClock::now()) + options_.prefillPerToken * tokens;
    const TimePoint end = prefillFreeAt_;
    lock.unlock();
    const bool isDone = exchange.waitUntil(end);
    lock.lock();
    --load_.waiting;
    load_.queuedPrefillTokens -= tokens;
    load_.running += isDone ? 1 : 0;
    publishLoad();
    return isDone;
}

void StandInEngine::recordStart(const Exchange &exchange)
{
    const std::lock_guard lock(mutex_);
    ++record_.started;
    const std::string id = exchange.header("X-Request-Id");
    if (!id.empty()) {
        ++record_.requests[id];
    }
}

void StandInEngine::recordStreaming()
{
    const std::lock_guard lock(mutex_);
    ++record_.streaming;
}

void StandInEngine::recordOutcome(Outcome outcome)
{
    const std::lock_guard lock(mutex_);
    record_.completed += outcome == Outcome::Completed ? 1 : 0;
    record_.cancelled += outcome == Outcome::Cancelled ? 1 : 0;
    record_.faulted += outcome == Outcome::Faulted ? 1 : 0;
}

void StandInEngine::publishLoad()
{
    load_.usedBlocks = cache_.size();
    load_.eventSequence = cache_.lastSequence();
    const TimePoint now = BootClock::now();
    publishedLoads_.push_back({now, load_});
    while (publishedLoads_.size() > 1 && publishedLoads_[1].time <= now - options_.loadLag) {
        publishedLoads_.pop_front();
    }
}

void StandInEngine::reportLoad(Exchange &exchange)
{
    std::unique_lock lock(mutex_);
    publishLoad(); // Removes the loads that are older than the lag.
    const Load load = publishedLoads_.front().load;
    std::string json = R"({"incarnation":")" + incarnation_ + R"(","name":)";
    appendJsonString(json, options_.name);
    json += R"(,"model":)";
    appendJsonString(json, options_.model);
    json += R"(,"weights_version":)";
    appendJsonString(json, weights_);
    lock.unlock();
    json += R"(,"running":)" + std::to_string(load.running) + R"(,"waiting":)" + std::to_string(load.waiting) + R"(,"queued_prefill_tokens":)"
        + std::to_string(load.queuedPrefillTokens) + R"(,"kv_blocks_used":)" + std::to_string(load.usedBlocks) + R"(,"kv_blocks_total":)"
        + std::to_string(options_.cacheBlocks) + R"(,"cache_event_sequence":)" + std::to_string(load.eventSequence) + "}";
    exchange.sendJson(200, json);
}

void StandInEngine::reportCacheEvents(Exchange &exchange)
{
    std::unique_lock lock(mutex_);
    std::string json = R"({"incarnation":")" + incarnation_ + R"(","first":)" + std::to_string(cache_.firstKeptSequence()) + R"(,"last":)"
        + std::to_string(cache_.lastSequence()) + R"(,"events":[)";
    const std::vector<CacheEvent> events = cache_.eventsAfter(exchange.queryNumber("after", 0));
    lock.unlock();
    std::string_view separator;
    for (const CacheEvent &event : events) {
        json += separator;
        json += R"({"sequence":)" + std::to_string(event.sequence) + R"(,"kind":")" + (event.isStored ? "stored" : "evicted") + R"(","block":")"
            + hex(event.block) + R"(","parent":")" + hex(event.parent) + R"("})";
        separator = ",";
    }
    exchange.sendJson(200, json + "]}");
}

void StandInEngine::executeOrder(Exchange &exchange)
{
    const JsonBody body(exchange.body());
    const Order order{body.text("kind"), body.number("fencing"), body.text("value")};
    const bool isKnown = order.kind == "load_weights" || order.kind == "set_role" || order.kind == "load_adapter";
    if (!isKnown) {
        exchange.sendJson(400, R"({"error":"unknown kind of order"})");
        return;
    }
    std::unique_lock lock(mutex_);
    record_.orders.push_back(order);
    if (options_.checksFencing && order.fencing < lastFencing_) {
        const std::string seen = std::to_string(lastFencing_);
        lock.unlock();
        exchange.sendJson(409, R"({"error":"fencing number is older than one seen","seen":)" + seen + "}");
        return;
    }
    lastFencing_ = std::max(lastFencing_, order.fencing);
    if (order.kind == "load_weights") {
        weights_ = order.value;
        cache_.clear();
    }
    lock.unlock();
    exchange.sendJson(200, R"({"accepted":true})");
}

void StandInEngine::restart(Exchange &exchange)
{
    {
        const std::lock_guard lock(mutex_);
        incarnation_ = randomHex(incarnationBytes);
        cache_ = PrefixCache(options_.cacheBlocks);
        lastFencing_ = 0;
    }
    exchange.sendJson(200, "{}");
}

void StandInEngine::planFault(Exchange &exchange)
{
    const JsonBody body(exchange.body());
    StandInEngineFault fault;
    fault.dropAfterTokens = body.optionalNumber("drop_after_tokens");
    fault.malformedAfterTokens = body.optionalNumber("malformed_after_tokens");
    fault.freezeAfterTokens = body.optionalNumber("freeze_after_tokens");
    fault.isCrossed = body.flag("crossed");
    fault.isRefused = body.flag("refuse");
    fault.hasNoDone = body.flag("no_done");
    fault.delay = std::chrono::milliseconds(body.number("delay_ms"));
    faults_.set(fault, body.number("times", 1));
    {
        const std::lock_guard lock(mutex_);
        cache_.setLostShare(body.real("lose_events"));
    }
    exchange.sendJson(200, "{}");
}

void StandInEngine::reportRecord(Exchange &exchange)
{
    std::unique_lock lock(mutex_);
    const Record record = record_;
    lock.unlock();
    std::string json = R"({"started":)" + std::to_string(record.started) + R"(,"under_way":)" + std::to_string(record.streaming) + R"(,"completed":)"
        + std::to_string(record.completed) + R"(,"cancelled":)" + std::to_string(record.cancelled) + R"(,"faulted":)" + std::to_string(record.faulted)
        + R"(,"saw_authorization":)" + (record.sawAuthorization ? "true" : "false") + R"(,"requests":{)";
    std::string_view separator;
    for (const auto &[id, count] : record.requests) {
        json += separator;
        appendJsonString(json, id);
        json += ":" + std::to_string(count);
        separator = ",";
    }
    json += R"(},"orders":[)";
    separator = {};
    for (const Order &order : record.orders) {
        json += separator;
        json += R"({"kind":)";
        appendJsonString(json, order.kind);
        json += R"(,"fencing":)" + std::to_string(order.fencing) + R"(,"value":)";
        appendJsonString(json, order.value);
        json += "}";
        separator = ",";
    }
    exchange.sendJson(200, json + "]}");
}

} // namespace Lovageloft::StandIns
