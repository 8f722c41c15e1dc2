#include <algorithm>
#include <array>

#include "core/log.h"
#include "gateway/caller_session.h"
#include "gateway/gateway.h"

/// The connections of callers: accepting them, and closing those whose memory or descriptors others need.
namespace Lovageloft
{

namespace
{

constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

void Gateway::onSessionEnded(const std::shared_ptr<CallerSession> &session)
{
    callerBuffers_.close(session->bufferId());
    callerConnections_.close(session->connectionId());
    sessions_.erase(session);
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
    const auto session =
        std::find_if(sessions_.begin(), sessions_.end(), [&expendable](const auto &other) { return other->connectionId() == expendable->connection; });
    if (session != sessions_.end()) {
        std::shared_ptr<CallerSession>(*session)->closeForRoom();
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
        const auto session =
            std::find_if(sessions_.begin(), sessions_.end(), [&stalled](const auto &other) { return other->bufferId() == stalled->connection; });
        if (session != sessions_.end()) {
            std::shared_ptr<CallerSession>(*session)->closeStalled();
        }
        callerBuffers_.close(stalled->connection);
    }
}

void Gateway::accept()
{
    if (!acceptor_.is_open()) {
        return;
    }
    acceptor_.async_accept([this](const boost::system::error_code &error, TcpConnection::Socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            // Without a descriptor the next attempt would fail at once as well.
            acceptTimer_.expires_after(acceptRetryDelay);
            acceptTimer_.async_wait([this](const boost::system::error_code &) { accept(); });
            return;
        }
        auto session = std::make_shared<CallerSession>(*this, std::move(socket));
        sessions_.insert(session);
        session->start();
        if (!makeRoomForConnections()) {
            metrics_.add("lovageloft_callers_closed_total", {{"phase", "new"}});
            session->closeForRoom();
        }
        accept();
    });
}

} // namespace Lovageloft
