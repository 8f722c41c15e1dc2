#include "main/router_host.h"

#include <fstream>
#include <sstream>
#include <thread>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

constexpr std::chrono::milliseconds drainCheck{20};

} // namespace

RouterHost::RouterHost(Settings settings)
    : settings_(std::move(settings))
    , dispatcher_(settings_, configuration_)
    , parts_{settings_, metrics_, configuration_, dispatcher_, drain_, deadlines_}
{
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
             {{"caller_port", static_cast<std::int64_t>(callers_->port())}, {"operator_port", static_cast<std::int64_t>(operators_->port())}});
    return true;
}

bool RouterHost::applySeedTickets(Reason &reason)
{
    for (const std::string &path : settings_.seedTickets) {
        const std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        const auto ticket = parseTicket(text.str(), reason);
        if (!ticket || !configuration_.apply(*ticket, reason)) {
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
        std::this_thread::sleep_for(drainCheck);
    }
    return true;
}

} // namespace Lovageloft
