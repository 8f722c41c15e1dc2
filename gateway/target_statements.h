#pragma once

#include <string>
#include <string_view>

#include "decision/statement_table.h"
#include "gateway/protocol.h"
#include "gateway/statement_log.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// What this host knows of the statements that targets make about themselves with their answers.
class TargetStatements
{
public:
    TargetStatements(std::string hostName, Metrics &metrics);

    /// Reads an answer of a target to a request that was sent at `sentAt` to this incarnation of it.
    void onAnswer(std::string_view targetId, std::int64_t incarnation, TimePoint sentAt, const AnswerFacts &facts);

    /// Drops what other incarnations and targets that are gone have stated.
    void setTargets(const TargetMap &targets);

    void tick(TimePoint now);

    const StatementTable &table() const
    {
        return table_;
    }

private:
    StatementTable table_;
    StatementLog log_;
};

} // namespace Lovageloft
