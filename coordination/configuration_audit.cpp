#include "coordination/configuration_audit.h"

namespace Lovageloft
{

std::vector<AuditLine> auditLines(const LogEntry &entry)
{
    std::vector<AuditLine> lines;
    for (const ObjectChange &change : entry.changes) {
        lines.push_back({entry.sequence, entry.committedAt, entry.ticket.operatorName, entry.ticket.number, change});
    }
    return lines;
}

std::optional<std::vector<AuditLine>> readAudit(ConfigurationLogStore &logStore, SequenceRange range, Reason &reason)
{
    const auto entries = logStore.readRange(range);
    if (!entries.has_value()) {
        reason = {ResultCode::StoreUnavailable, "the store does not answer"};
        return std::nullopt;
    }
    std::vector<AuditLine> lines;
    for (const LogEntry &entry : *entries) {
        const std::vector<AuditLine> more = auditLines(entry);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    return lines;
}

} // namespace Lovageloft
