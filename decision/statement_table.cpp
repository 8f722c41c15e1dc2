#include "decision/statement_table.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

/// A statement lapses when it was not heard for this time. A target that gets hardly any requests can't tell when its limit ends; it is tried sooner.
constexpr Duration silenceBeforeLapse = std::chrono::seconds(60);
constexpr Duration silenceBeforeTrial = std::chrono::seconds(10);
constexpr double maxTrialRate = 0.1;

/// After its end, a rate limit doubles each `rampStep`, from at least one request a second, for `rampTime`.
constexpr Duration rampStep = std::chrono::milliseconds(250);
constexpr Duration rampTime = std::chrono::seconds(2);
constexpr double minRampRate = 1;

Duration lapseTime(const TargetStatement &statement)
{
    const bool isStarved = statement.kind == StatementKind::RateLimit && statement.value <= maxTrialRate;
    return isStarved ? silenceBeforeTrial : silenceBeforeLapse;
}

} // namespace

StatementTable::StatementTable(std::string host)
    : host_(std::move(host))
{
}

std::optional<StatementTable::Update> StatementTable::onAnswer(const Heard &heard, TimePoint now)
{
    const auto found = entries_.find({std::string(heard.target), heard.kind});
    if (found == entries_.end()) {
        return heard.isStated && heard.value ? std::optional(setValue(heard, *heard.value, now)) : std::nullopt;
    }
    Entry &entry = found->second;
    if (heard.incarnation < entry.statement.incarnation) {
        return std::nullopt;
    }
    const bool isNewer = heard.incarnation > entry.statement.incarnation || heard.sentAt > entry.statement.statedAt;
    if (!heard.isStated) {
        if (entry.endedAt || !isNewer) {
            return std::nullopt;
        }
        entry.endedAt = now;
        entry.statement.statedAt = now;
        return Update{entry.statement, true};
    }
    const double value = heard.value.value_or(entry.statement.value);
    if (!entry.endedAt && value == entry.statement.value && heard.incarnation == entry.statement.incarnation) {
        entry.statement.heardAt = now;
        return std::nullopt;
    }
    const bool isTighter = !entry.endedAt && value < entry.statement.value;
    if (!isNewer && !isTighter) {
        return std::nullopt;
    }
    return setValue(heard, value, now);
}

StatementTable::Update StatementTable::setValue(const Heard &heard, double value, TimePoint now)
{
    TargetStatement statement{std::string(heard.target), heard.incarnation, heard.kind, value, now, now, host_};
    entries_.insert_or_assign({statement.target, statement.kind}, Entry{statement, std::nullopt});
    return {std::move(statement), false};
}

void StatementTable::presumeRejectionLimit(std::string_view target, std::int64_t incarnation, double value, TimePoint now)
{
    const Entry *known = findEntry(target, StatementKind::RejectionLimit);
    if (known == nullptr || known->statement.incarnation < incarnation) {
        setValue({target, incarnation, StatementKind::RejectionLimit, true, value, now}, value, now);
    }
}

void StatementTable::confirm(std::string_view target, StatementKind kind, TimePoint now)
{
    const auto found = entries_.find({std::string(target), kind});
    if (found != entries_.end() && !found->second.endedAt) {
        found->second.statement.heardAt = now;
    }
}

bool StatementTable::onUpdate(const Update &update)
{
    const TargetStatement &news = update.statement;
    const auto found = entries_.find({news.target, news.kind});
    if (found != entries_.end()) {
        const TargetStatement &known = found->second.statement;
        const bool isSame = news.incarnation == known.incarnation && news.value == known.value && !update.isEnded && !found->second.endedAt;
        if (isSame) {
            found->second.statement.heardAt = std::max(known.heardAt, news.heardAt);
            return false;
        }
        const bool isOvertaken = news.incarnation < known.incarnation || (news.incarnation == known.incarnation && news.statedAt <= known.statedAt);
        if (isOvertaken) {
            return false;
        }
    } else if (update.isEnded) {
        return false;
    }
    entries_.insert_or_assign({news.target, news.kind}, Entry{news, update.isEnded ? std::optional(news.statedAt) : std::nullopt});
    return true;
}

std::vector<StatementTable::Update> StatementTable::expire(TimePoint now)
{
    std::vector<Update> ended;
    std::erase_if(entries_, [now](const auto &entry) { return entry.second.endedAt && now - *entry.second.endedAt > rampTime; });
    for (auto &[key, entry] : entries_) {
        if (entry.endedAt || now - entry.statement.heardAt <= lapseTime(entry.statement)) {
            continue;
        }
        entry.endedAt = now;
        entry.statement.statedAt = now;
        ended.push_back({entry.statement, true});
    }
    return ended;
}

std::vector<TargetStatement> StatementTable::inForce() const
{
    std::vector<TargetStatement> statements;
    for (const auto &[key, entry] : entries_) {
        if (!entry.endedAt) {
            statements.push_back(entry.statement);
        }
    }
    return statements;
}

const TargetStatement *StatementTable::find(std::string_view target, StatementKind kind) const
{
    const Entry *entry = findEntry(target, kind);
    return entry != nullptr && !entry->endedAt ? &entry->statement : nullptr;
}

std::optional<double> StatementTable::rateLimit(std::string_view target, TimePoint now) const
{
    const Entry *entry = findEntry(target, StatementKind::RateLimit);
    return entry != nullptr ? limitOf(*entry, now) : std::nullopt;
}

std::optional<double> StatementTable::limitOf(const Entry &entry, TimePoint now)
{
    if (!entry.endedAt) {
        return entry.statement.value;
    }
    const Duration elapsed = now - *entry.endedAt;
    if (elapsed >= rampTime) {
        return std::nullopt;
    }
    const auto steps = static_cast<int>(elapsed / rampStep) + 1;
    return std::ldexp(std::max(entry.statement.value, minRampRate), steps);
}

bool StatementTable::isEmpty() const
{
    return entries_.empty();
}

const StatementTable::Entry *StatementTable::findEntry(std::string_view target, StatementKind kind) const
{
    if (entries_.empty()) {
        return nullptr;
    }
    const auto found = entries_.find({std::string(target), kind});
    return found != entries_.end() ? &found->second : nullptr;
}

} // namespace Lovageloft
