#include "servers/ticket_service.h"

#include <chrono>
#include <utility>

#include "core/digest.h"
#include "core/log.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t nonceBytes = 16;

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

TicketService::TicketService(Store &store, const std::string &prefix, ConfigurationService &configuration, Announce announce)
    : configuration_(configuration)
    , announce_(std::move(announce))
    , logStore_(store, prefix)
    , committer_(logStore_, replica_, [this](std::int64_t sequence) { return configuration_.entryStatus(sequence).isInForce; })
{
}

std::optional<LogEntry> TicketService::apply(const Ticket &ticket, Reason &reason)
{
    const std::lock_guard lock(mutex_);
    if (logStore_.catchUp(replica_) != StoreStatus::Ok) {
        reason = {ResultCode::StoreUnavailable, {}};
        return std::nullopt;
    }
    auto entry = committer_.commit(ticket, wallMilliseconds(), randomHex(nonceBytes), reason);
    configuration_.takeFrom(replica_);
    if (!entry) {
        writeLog(LogLevel::Warning,
                 "ticket_refused",
                 {{"ticket", ticket.number}, {"operator", ticket.operatorName}, {"code", static_cast<std::int64_t>(reason.code)}});
        return std::nullopt;
    }
    announce_(*entry);
    writeLog(LogLevel::Info, "ticket_committed", {{"ticket", ticket.number}, {"operator", ticket.operatorName}, {"sequence", entry->sequence}});
    return entry;
}

std::optional<std::vector<AuditLine>> TicketService::audit(std::int64_t first, std::int64_t last, Reason &reason)
{
    const std::lock_guard lock(mutex_);
    return readAudit(logStore_, {first, last}, reason);
}

} // namespace Lovageloft
