#include <array>

#include "core/log.h"
#include "gateway/caller_session.h"
#include "gateway/gateway.h"

/// The connections of callers: accepting them, and closing those whose memory or descriptors others need.
namespace Lovageloft
{

void Gateway::onSessionEnded(const std::shared_ptr<CallerSession> &session)
{
    const ConnectionBudget::ConnectionId id = session->connectionId();
    callerBuffers_.close(id);
    callerConnections_.close(id);
    sessions_.erase(id);
}

bool Gateway::makeRoomForConnections()
{
    while (callerConnections_.isExceeded()) {
        if (!closeExpendable(callerConnections_.findExpendable(BootClock::now()))) {
            return false;
        }
    }
    return true;
}

bool Gateway::makeRoomForBody(std::size_t bytes)
{
    while (!callerBuffers_.hasRoom(bytes)) {
        if (!closeExpendable(callerConnections_.findExpendableBody(BootClock::now()))) {
            return false;
        }
    }
    return true;
}

/// After a pause of the event loop it is not known yet what callers have sent meanwhile.
bool Gateway::closeExpendable(const std::optional<ConnectionBudget::Expendable> &expendable)
{
    if (!expendable || pauseDetector_.recentPause(BootClock::now()) != Duration::zero()) {
        return false;
    }
    constexpr std::array<std::string_view, 3> phases{"idle", "arriving", "served"};
    const std::string_view phase = phases.at(static_cast<std::size_t>(expendable->phase));
    writeLog(LogLevel::Info,
             "caller_closed_for_room",
             {{"phase", phase},
              {"bytes", static_cast<std::int64_t>(expendable->bytes)},
              {"age_ms", toMillis(expendable->age)},
              {"connections", static_cast<std::int64_t>(callerConnections_.count())},
              {"held_bytes", static_cast<std::int64_t>(callerConnections_.bytes() + callerBuffers_.reserved())}});
    metrics_.add("lovageloft_callers_closed_total", {{"phase", phase}});
    if (const auto session = sessions_.find(expendable->connection); session != sessions_.end()) {
        std::shared_ptr<CallerSession>(session->second)->closeForRoom();
    }
    callerConnections_.close(expendable->connection);
    return true;
}

/// Closes connections whose callers have stopped reading, while they hold the memory that other callers need. After a pause of the event loop it
/// is not known yet what callers have read meanwhile.
void Gateway::closeStalledCallers(TimePoint now)
{
    if (pauseDetector_.recentPause(now) != Duration::zero()) {
        return;
    }
    while (const auto stalled = callerBuffers_.findStalled(now)) {
        writeLog(LogLevel::Info,
                 "slow_caller_closed",
                 {{"bytes", static_cast<std::int64_t>(stalled->bytes)},
                  {"silent_ms", toMillis(stalled->silence)},
                  {"held_bytes", static_cast<std::int64_t>(callerBuffers_.reserved())},
                  {"budget_bytes", static_cast<std::int64_t>(callerBuffers_.total())}});
        if (const auto session = sessions_.find(stalled->connection); session != sessions_.end()) {
            std::shared_ptr<CallerSession>(session->second)->closeStalled();
        }
        callerBuffers_.close(stalled->connection);
    }
}

void Gateway::accept(TcpConnection::Socket socket)
{
    const auto session = std::make_shared<CallerSession>(*this, std::move(socket));
    sessions_.emplace(session->connectionId(), session);
    session->start();
    if (!makeRoomForConnections()) {
        metrics_.add("lovageloft_callers_closed_total", {{"phase", "new"}});
        session->closeForRoom();
    }
}

} // namespace Lovageloft
