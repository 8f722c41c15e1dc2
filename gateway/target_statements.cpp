#include "gateway/target_statements.h"

#include <algorithm>

namespace Lovageloft
{

TargetStatements::TargetStatements(std::string hostName, Metrics &metrics)
    : table_(std::move(hostName))
    , log_(metrics)
{
}

void TargetStatements::onAnswer(std::string_view targetId, std::int64_t incarnation, TimePoint sentAt, const AnswerFacts &facts)
{
    const bool isOtherTarget = facts.isTargetMismatch && facts.targetId != targetId;
    if (isOtherTarget) {
        return;
    }
    log_.heard(targetId, facts.stated);
    const std::vector<StatedValue> &statements = facts.stated.statements;
    if (statements.empty() && table_.isEmpty()) {
        return;
    }
    const TimePoint now = BootClock::now();
    for (const StatementKind kind : allStatementKinds) {
        const auto stated = std::find_if(statements.begin(), statements.end(), [kind](const StatedValue &value) { return value.kind == kind; });
        const bool isStated = stated != statements.end();
        const auto update = table_.onAnswer({targetId, incarnation, kind, isStated, isStated ? stated->value : std::nullopt, sentAt}, now);
        if (update) {
            log_.changed(*update);
        }
    }
}

void TargetStatements::setTargets(const TargetMap &targets)
{
    table_.retainListed([&targets](std::string_view id) {
        const auto found = targets.find(id);
        return found != targets.end() ? std::optional(found->second.incarnation) : std::nullopt;
    });
}

void TargetStatements::tick(TimePoint now)
{
    for (const StatementTable::Update &lapsed : table_.expire(now)) {
        log_.changed(lapsed, true);
    }
}

} // namespace Lovageloft
