#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"

namespace Lovageloft
{

/// What a ticket did to one object: the digests of its JSON text before and after, empty where it did not exist.
struct ObjectChange
{
    std::string object; ///< As objectId names it.
    std::string before;
    std::string after;

    bool operator==(const ObjectChange &) const = default;
};

/// One committed change: the value of one key of the configuration log.
struct LogEntry
{
    std::int64_t sequence = 0; ///< From 1 on, without gaps.
    std::string nonce; ///< Drawn anew for each commit, so that a committer knows its own entry after a lost answer.
    std::int64_t committedAt = 0; ///< Milliseconds since 1970 by the committing host's wall clock; for the audit trail only.
    std::vector<ObjectChange> changes;
    Ticket ticket; ///< Without objects in an entry that could not be read.

    bool operator==(const LogEntry &) const = default;
};

/// The greatest length of an entry's text in bytes; the store holds values up to a megabyte.
constexpr std::size_t greatestEntrySize = 1'000'000;

/// The entry as JSON.
std::string formatLogEntry(const LogEntry &entry);

/// Reads an entry and its ticket, checking every field; what can't be read is TicketInvalid.
std::optional<LogEntry> parseLogEntry(std::string_view json, Reason &reason);

} // namespace Lovageloft
