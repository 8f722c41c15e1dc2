#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/target_statement.h"

namespace Lovageloft
{

/// The newest statements of all targets, as heard by this host or by others.
///
/// A statement holds for as long as the target repeats it in its answers. Answers may arrive out of order: one ends or raises a statement only if
/// its request was sent after the statement was first heard. A statement that is not heard again for long lapses. After its end, a rate limit
/// rises in steps until it is dropped, so that hosts that waited for it don't send all at once. Not thread-safe; reads no clock.
class StatementTable
{
public:
    /// A statement as passed between hosts.
    struct Update
    {
        TargetStatement statement;
        bool isEnded = false; ///< The target no longer states it, since `statedAt`.
    };

    /// What an answer of a target states about one kind.
    struct Heard
    {
        std::string_view target;
        std::int64_t incarnation = 0;
        StatementKind kind{};
        bool isStated = false;
        std::optional<double> value; ///< Nothing if it can't be read; an earlier value then still holds.
        TimePoint sentAt; ///< When the request was sent.
    };

    explicit StatementTable(std::string host);

    /// Applies an answer. Returns the update for other hosts if it changed anything.
    std::optional<Update> onAnswer(const Heard &heard, TimePoint now);

    /// A target has started and has not answered yet. It is taken to state the same rejection limit as others of its service until it answers.
    void presumeRejectionLimit(std::string_view target, std::int64_t incarnation, double value, TimePoint now);

    /// Another host acts on a statement, which it has heard lately. Keeps it from lapsing here.
    void confirm(std::string_view target, StatementKind kind, TimePoint now);

    /// Applies an update from another host; returns whether it changed anything. Those of an earlier incarnation and overtaken ones are ignored.
    bool onUpdate(const Update &update);

    /// Ends the statements that were not heard again for long, and drops those that ended long ago. Returns the ended ones.
    std::vector<Update> expire(TimePoint now);

    /// Drops the statements of targets that are not listed any more, or with another incarnation. `incarnationOf` returns nothing for an unlisted one.
    template <typename IncarnationOf>
    void retainListed(const IncarnationOf &incarnationOf)
    {
        std::erase_if(entries_, [&incarnationOf](const auto &entry) {
            const std::optional<std::int64_t> incarnation = incarnationOf(entry.first.first);
            return !incarnation || *incarnation > entry.second.statement.incarnation;
        });
    }

    /// Statements in force.
    std::vector<TargetStatement> inForce() const;

    /// Statement in force of a target; null if there is none. Valid until the next change.
    const TargetStatement *find(std::string_view target, StatementKind kind) const;

    /// Requests a second that all hosts together may send to a target; nothing if there is no limit.
    std::optional<double> rateLimit(std::string_view target, TimePoint now) const;

    bool isEmpty() const;

private:
    using Key = std::pair<std::string, StatementKind>;

    struct Entry
    {
        TargetStatement statement;
        std::optional<TimePoint> endedAt;
    };

    static std::optional<double> limitOf(const Entry &entry, TimePoint now);
    const Entry *findEntry(std::string_view target, StatementKind kind) const;
    Update setValue(const Heard &heard, double value, TimePoint now);

    std::string host_;
    std::map<Key, Entry> entries_;
};

} // namespace Lovageloft
