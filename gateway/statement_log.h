#pragma once

#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "core/metrics.h"
#include "decision/leave_table.h"
#include "decision/statement_table.h"
#include "gateway/protocol.h"

namespace Lovageloft
{

/// Counts and logs what targets state about themselves, including what can't be read and what this build does not know.
class StatementLog
{
public:
    explicit StatementLog(Metrics &metrics);

    /// Counts the statements of an answer. Each unknown field is logged once, each ambiguous statement once for each target.
    void heard(std::string_view target, const StatementFacts &facts);

    /// A statement was made, changed or ended. `isLapsed`: it was not heard again for long.
    void changed(const StatementTable::Update &update, bool isLapsed = false) const;

    /// A target is known to leave. `source`: where this host has it from.
    void leaving(const LeaveTable::Leave &leave, std::string_view source) const;

private:
    Metrics &metrics_;
    std::set<std::string, std::less<>> unknownFields_;
    std::set<std::pair<std::string, StatementKind>> ambiguous_;
};

} // namespace Lovageloft
