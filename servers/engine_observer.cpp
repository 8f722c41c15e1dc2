#include "servers/engine_observer.h"

#include <functional>

#include "drivers/http_exchange.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t groupCount = 4;
/// Twice a second: the placement counts what this host sent since, and a host's share of control is 1.3% of a core.
constexpr std::chrono::milliseconds lookPeriod{500};
/// An engine that gave no answer is looked at less often; it may be frozen, and each look costs its group a timeout.
constexpr std::chrono::seconds failedPeriod{1};
constexpr std::chrono::milliseconds answerTimeout{300};
constexpr std::chrono::milliseconds step{20};
constexpr std::size_t reportLimit = 16'777'216;
constexpr int okStatus = 200;

std::optional<std::string> fetch(const TargetConfiguration &engine, const std::string &path)
{
    Reason reason;
    HttpExchange exchange(parseHostAddress(engine.address).value_or(HostAddress{}), {answerTimeout, answerTimeout});
    HttpRequestHead head;
    head.method = "GET";
    head.path = path;
    if (!exchange.connect(reason) || !exchange.send(head, reason)) {
        return std::nullopt;
    }
    const auto answer = exchange.readHead(-1, reason);
    if (!answer || answer->status != okStatus) {
        return std::nullopt;
    }
    return exchange.readAll(reportLimit, -1, reason);
}

} // namespace

EngineObserver::EngineObserver(ConfigurationService &configuration, Dispatcher &dispatcher, Metrics &metrics)
    : configuration_(configuration)
    , dispatcher_(dispatcher)
    , metrics_(metrics)
{
    for (std::size_t group = 0; group < groupCount; ++group) {
        threads_.emplace_back([this, group] { run(group); });
    }
}

EngineObserver::~EngineObserver()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

void EngineObserver::run(std::size_t group)
{
    std::map<std::string, Observed> engines;
    while (!isStopping_) {
        const auto state = configuration_.state();
        for (const auto &[name, target] : state->targets()) {
            if (target.kind != TargetKind::Engine || std::hash<std::string>{}(name) % groupCount != group || isStopping_) {
                continue;
            }
            Observed &observed = engines[name];
            if (BootClock::now() >= observed.nextLook) {
                look(target, observed);
            }
        }
        std::erase_if(engines, [&state](const auto &engine) { return !state->targets().contains(engine.first); });
        std::this_thread::sleep_for(step);
    }
}

void EngineObserver::look(const TargetConfiguration &engine, Observed &observed)
{
    const bool isAnswering = readLoad(engine, observed);
    if (isAnswering && observed.hasNewEvents) {
        readEvents(engine, observed);
    }
    if (!isAnswering) {
        metrics_.add("lovageloft_engine_reports_missed_total");
    }
    observed.nextLook = BootClock::now() + (isAnswering ? Duration(lookPeriod) : Duration(failedPeriod));
}

bool EngineObserver::readLoad(const TargetConfiguration &engine, Observed &observed)
{
    // The load was true at some time after the question left.
    const TimePoint askedAt = BootClock::now();
    const auto json = fetch(engine, "/control/load");
    Reason reason;
    const auto report = json ? parseEngineLoadReport(*json, reason) : std::nullopt;
    if (!report) {
        return false;
    }
    if (report->incarnation != observed.incarnation) {
        observed.incarnation = report->incarnation;
        observed.lastEvent = 0;
        ++observed.serial;
    }
    observed.hasNewEvents = !report->cacheEventSequence || *report->cacheEventSequence > observed.lastEvent;
    dispatcher_.onEngineSeen(engine.name, observed.serial, report->weightsVersion);
    LoadReport load;
    load.measuredAt = askedAt;
    load.incarnation = observed.serial;
    load.queuedPrefillTokens = static_cast<double>(report->queuedPrefillTokens);
    load.computedPrefillTokens = static_cast<double>(report->computedPrefillTokens);
    load.runningRequests = static_cast<std::uint32_t>(report->running);
    load.waitingRequests = static_cast<std::uint32_t>(report->waiting);
    dispatcher_.post([name = engine.name, load](RequestScheduler &scheduler) { scheduler.onLoadReport(name, load, BootClock::now()); });
    return true;
}

void EngineObserver::readEvents(const TargetConfiguration &engine, Observed &observed)
{
    const auto json = fetch(engine, "/control/cache-events?after=" + std::to_string(observed.lastEvent));
    Reason reason;
    auto found = json ? parseEngineCacheEvents(*json, reason) : std::nullopt;
    if (!found || found->incarnation != observed.incarnation || found->events.empty()) {
        return;
    }
    observed.lastEvent = found->events.back().sequence;
    dispatcher_.post([name = engine.name, serial = observed.serial, events = std::move(found->events)](RequestScheduler &scheduler) {
        // Lost events leave gaps; each run without one is handed on with the number of its first.
        std::vector<CacheEvent> run;
        std::uint64_t first = 0;
        for (const EngineCacheEvent &event : events) {
            if (!run.empty() && event.sequence != first + run.size()) {
                scheduler.onCacheEvents(name, serial, first, run);
                run.clear();
            }
            first = run.empty() ? event.sequence : first;
            run.push_back({event.block, event.isStored ? CacheEvent::Kind::Stored : CacheEvent::Kind::Evicted});
        }
        scheduler.onCacheEvents(name, serial, first, run);
    });
}

} // namespace Lovageloft
