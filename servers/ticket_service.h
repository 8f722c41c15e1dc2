#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration_audit.h"
#include "coordination/ticket_committer.h"
#include "servers/configuration_service.h"

namespace Lovageloft
{

/// Takes operators' tickets to the store and spreads them. Calls come from operators' connections and are taken one by one.
class TicketService
{
public:
    /// Tells the other hosts of an entry that this host committed.
    using Announce = std::function<void(const LogEntry &)>;

    TicketService(Store &store, const std::string &prefix, ConfigurationService &configuration, Announce announce);

    /// Commits a ticket; the reasons are TicketCommitter's.
    std::optional<LogEntry> apply(const Ticket &ticket, Reason &reason);

    /// Audit lines of up to 100 entries from `first` on.
    std::optional<std::vector<AuditLine>> audit(std::int64_t first, std::int64_t last, Reason &reason);

private:
    ConfigurationService &configuration_;
    Announce announce_;
    std::mutex mutex_;
    ConfigurationLogStore logStore_;
    ConfigurationLog replica_;
    TicketCommitter committer_;
};

} // namespace Lovageloft
