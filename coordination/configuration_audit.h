#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration_log_store.h"

namespace Lovageloft
{

/// One line of the audit trail: the change of one object by one entry.
struct AuditLine
{
    std::int64_t sequence = 0;
    std::int64_t committedAt = 0; ///< Milliseconds since 1970 by the wall clock of the committing host.
    std::string operatorName;
    std::int64_t ticket = 0;
    ObjectChange change;
};

/// Returns the audit lines of an entry, in the order of the objects in its ticket. They are returned even if hosts skip the entry because its
/// ticket is not valid.
std::vector<AuditLine> auditLines(const LogEntry &entry);

/// Reads the audit lines of the entries from `range.first` to `range.last`, at most 100 entries per call. To continue, call again from the
/// sequence number after the last one returned. Entries that can't be read have no lines: a call that returns none within the log is
/// continued at `range.first` + 100. std::nullopt if the store gave no answer (StoreUnavailable).
std::optional<std::vector<AuditLine>> readAudit(ConfigurationLogStore &logStore, SequenceRange range, Reason &reason);

} // namespace Lovageloft
