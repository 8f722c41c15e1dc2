#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"

namespace Lovageloft
{

/// The change of one object by a ticket.
struct ObjectChange
{
    std::string object; ///< As returned by objectId().
    std::string before; ///< sha256Hex of the object's JSON text before the change; empty if it did not exist.
    std::string after; ///< The same after the change; empty if the object was removed.

    bool operator==(const ObjectChange &) const = default;
};

/// One entry of the configuration log, stored as the value of one key. It is committed once that key has been created.
struct LogEntry
{
    std::int64_t sequence = 0; ///< Counts from 1, without gaps.
    std::string nonce; ///< Random for each commit, so that a committer recognizes its own entry after a lost response.
    std::int64_t committedAt = 0; ///< Wall clock of the committing host in milliseconds since 1970, when the commit began; for the audit trail only.
    std::vector<ObjectChange> changes;
    Ticket ticket; ///< Has no objects in an entry that could not be read.

    bool operator==(const LogEntry &) const = default;
};

/// Maximum length of an entry's text in bytes; the store accepts values up to a megabyte.
constexpr std::size_t maxEntrySize = 1'000'000;

std::string formatLogEntry(const LogEntry &entry);

/// Reads an entry and its ticket and checks every field. The reason is TicketInvalid if something can't be read.
std::optional<LogEntry> parseLogEntry(std::string_view json, Reason &reason);

} // namespace Lovageloft
