#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration_log_store.h"

namespace Lovageloft
{

/// One line of the audit trail: one object that one entry changed.
struct AuditLine
{
    std::int64_t sequence = 0;
    std::int64_t committedAt = 0; ///< Milliseconds since 1970 by the committing host's wall clock.
    std::string operatorName;
    std::int64_t ticket = 0;
    ObjectChange change;
};

/// The audit lines of an entry in the order of the ticket.
std::vector<AuditLine> auditLines(const LogEntry &entry);

/// Reads the audit lines of the entries from `range.first` to `range.last`, at most 100 entries a call; a caller goes on behind the
/// last sequence it got. Nothing if the store gave no answer (StoreUnavailable).
std::optional<std::vector<AuditLine>> readAudit(ConfigurationLogStore &logStore, SequenceRange range, Reason &reason);

} // namespace Lovageloft
