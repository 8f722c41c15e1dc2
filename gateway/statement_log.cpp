#include "gateway/statement_log.h"

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Limits the memory and the metric's labels if targets send ever new fields.
constexpr std::size_t maxUnknownFields = 32;
constexpr std::size_t maxAmbiguousStatements = 1'024;
constexpr std::string_view otherFields = "other";

} // namespace

StatementLog::StatementLog(Metrics &metrics)
    : metrics_(metrics)
{
}

void StatementLog::heard(std::string_view target, const StatementFacts &facts)
{
    for (const StatedValue &stated : facts.statements) {
        const std::string_view kind = statementKindName(stated.kind);
        metrics_.add("lovageloft_target_statements_total", {{"kind", kind}});
        if (!stated.isAmbiguous) {
            continue;
        }
        metrics_.add("lovageloft_target_statements_ambiguous_total", {{"kind", kind}});
        if (ambiguous_.size() < maxAmbiguousStatements && ambiguous_.emplace(target, stated.kind).second) {
            writeLog(LogLevel::Warning, "target_statement_ambiguous", {{"target", target}, {"kind", kind}, {"value", stated.value.value_or(-1)}});
        }
    }
    for (const std::string &field : facts.unknownFields) {
        const bool isNew = unknownFields_.size() < maxUnknownFields && unknownFields_.insert(field).second;
        const std::string_view label = unknownFields_.contains(field) ? std::string_view(field) : otherFields;
        metrics_.add("lovageloft_target_fields_unknown_total", {{"field", label}});
        if (isNew) {
            writeLog(LogLevel::Warning, "target_field_unknown", {{"field", field}, {"target", target}});
        }
    }
}

void StatementLog::leaving(const LeaveTable::Leave &leave, std::string_view source) const
{
    metrics_.add("lovageloft_target_leaves_total", {{"source", source}});
    writeLog(LogLevel::Info, "target_leaving", {{"target", leave.target}, {"incarnation", leave.incarnation}, {"source", source}, {"heard_by", leave.heardBy}});
}

void StatementLog::changed(const StatementTable::Update &update, bool isLapsed) const
{
    const TargetStatement &statement = update.statement;
    writeLog(LogLevel::Info,
             update.isEnded ? "target_statement_ended" : "target_statement",
             {{"target", statement.target},
              {"kind", statementKindName(statement.kind)},
              {"value", statement.value},
              {"incarnation", statement.incarnation},
              {"heard_by", statement.heardBy},
              {"lapsed", isLapsed}});
}

} // namespace Lovageloft
