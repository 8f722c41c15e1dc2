#include "main/router_host.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

#include "coordination/memory_store.h"
#include "core/log.h"
#include "drivers/etcd_store.h"
#include "memory/connection_budget.h"
#include "memory/machine_limits.h"

namespace Lovageloft
{

namespace
{

/// Increases with each restart unless the wall clock is set back by more than the time since the previous start.
std::uint64_t makeIncarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::unique_ptr<Store> makeStore(const Settings &settings)
{
    if (settings.storeKind == "memory") {
        return std::make_unique<MemoryStore>();
    }
    EtcdStoreOptions options;
    options.callTimeout = std::chrono::milliseconds(settings.storeTimeout);
    for (const std::string &endpoint : settings.storeEndpoints) {
        options.endpoints.push_back(parseHostAddress(endpoint).value_or(HostAddress{}));
    }
    return std::make_unique<EtcdStore>(options);
}

/// Part of the machine's memory for callers, where the settings don't say how much.
constexpr double callerMemoryFraction = 0.4;

/// Room for some connections whose heads arrive at the same time.
constexpr std::size_t minCallerMemory = 8'000'000;

std::size_t callerMemoryOf(const Settings &settings)
{
    const auto allowed = static_cast<double>(readMachineLimits().memoryBytes);
    const std::size_t bytes =
        settings.callerMemory != 0 ? static_cast<std::size_t>(settings.callerMemory) : static_cast<std::size_t>(allowed * callerMemoryFraction);
    return bytes != 0 ? std::max(bytes, minCallerMemory) : 0;
}

constexpr std::chrono::milliseconds drainCheckInterval{20};

} // namespace

RouterHost::RouterHost(Settings settings)
    : settings_(std::move(settings))
    , incarnation_(makeIncarnation())
    , shares_(settings_.hostName, std::to_string(incarnation_), settings_.storeKind == "memory", metrics_)
    , configuration_(settings_, incarnation_, shares_)
    , store_(makeStore(settings_))
    , claimTable_(settings_.hostName, std::to_string(incarnation_))
    , peers_(settings_, incarnation_, configuration_, shares_, claimTable_, metrics_)
    , claims_(*store_, settings_.storePrefix, claimTable_, [this](const ClaimQuery &query) { return peers_.askClaim(query); })
    , tickets_(*store_, settings_.storePrefix, configuration_, [this](const LogEntry &entry) { peers_.announceToAll(entry); })
    , storeWatch_(settings_, *store_, configuration_, metrics_)
    , dispatcher_(settings_, configuration_)
    , engineObserver_(configuration_, dispatcher_, metrics_)
    , callerMemory_(callerMemoryOf(settings_),
                    [this](CallerMemoryUse use) {
                        return deadlines_.endOldestArriving(ConnectionBudget::minArrivalTime)
                            || (use == CallerMemoryUse::Connection && deadlines_.endOldestIdle());
                    })
    , parts_{settings_, metrics_, configuration_, shares_, tickets_, claims_, dispatcher_, drain_, deadlines_, callerMemory_}
{
    shares_.setTransport(peers_);
}

bool RouterHost::start(Reason &reason)
{
    if (!applySeedTickets(reason)) {
        return false;
    }
    operators_ = std::make_unique<OperatorServer>(parts_);
    callers_ = std::make_unique<CallerServer>(parts_);
    writeLog(LogLevel::Info,
             "started",
             {{"caller_port", static_cast<std::int64_t>(callers_->port())},
              {"operator_port", static_cast<std::int64_t>(operators_->port())},
              {"peer_port", static_cast<std::int64_t>(peers_.port())}});
    return true;
}

bool RouterHost::applySeedTickets(Reason &reason)
{
    if (settings_.storeKind != "memory") {
        return true;
    }
    for (const std::string &path : settings_.seedTickets) {
        const std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        const auto ticket = parseTicket(text.str(), reason);
        if (!ticket || !tickets_.apply(*ticket, reason)) {
            reason.text = path + ": " + reason.text;
            return false;
        }
    }
    return true;
}

std::uint16_t RouterHost::callerPort() const
{
    return callers_->port();
}

std::uint16_t RouterHost::operatorPort() const
{
    return operators_->port();
}

std::uint16_t RouterHost::peerPort() const
{
    return peers_.port();
}

bool RouterHost::drain()
{
    writeLog(LogLevel::Info, "drain_announced", {{"running", drain_.running()}});
    drain_.setPhase(DrainPhase::Announced);
    std::this_thread::sleep_for(std::chrono::milliseconds(settings_.drainNotice));
    drain_.setPhase(DrainPhase::Closing);
    callers_->stopAccepting();
    deadlines_.closeIdle();
    const bool isEmpty = waitForRunning();
    writeLog(isEmpty ? LogLevel::Info : LogLevel::Error, "drained", {{"running", drain_.running()}});
    return isEmpty;
}

bool RouterHost::waitForRunning()
{
    const TimePoint deadline = BootClock::now() + std::chrono::milliseconds(settings_.drainLimit);
    while (drain_.running() > 0) {
        if (BootClock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(drainCheckInterval);
    }
    return true;
}

} // namespace Lovageloft
