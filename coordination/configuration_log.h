#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"
#include "coordination/configuration_log_entry.h"

namespace Lovageloft
{

/// A state and its position in the log. A snapshot is a cache: only the log is authoritative, and any host may write a snapshot or pass it
/// to a peer.
struct ConfigurationSnapshot
{
    std::int64_t sequence = 0; ///< Sequence number of the last entry included in the state; 0 for the empty log.
    ConfigurationState state;
    std::int64_t hostsSequence = 0; ///< Sequence number of the last entry that changed the list of hosts, 0 if none did.
    std::vector<std::string> previousHosts; ///< The names of the hosts listed before that entry.
};

std::string formatSnapshot(const ConfigurationSnapshot &snapshot);

/// Reads the text returned by formatSnapshot(). If it can't be read, the reason is TicketInvalid.
std::optional<ConfigurationSnapshot> parseSnapshot(std::string_view json, Reason &reason);

/// A range of sequence numbers; `first` and `last` are included.
struct SequenceRange
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    bool operator==(const SequenceRange &) const = default;
};

/// The result of adding an entry to the log.
enum class AddOutcome : std::uint8_t
{
    Applied,
    Skipped, ///< In the log, but its ticket is not valid at that point. The entry is counted and changes nothing; every host skips it.
    Pending, ///< Held until the entries before it have arrived, unless entries that are nearer displace it.
    Duplicate, ///< An entry of this sequence number was replayed or is pending; the contents are not compared.
    Dropped, ///< Too far ahead for the set of pending entries (256, or 8 MB); request missingRange() first.
};

/// One host's replica of the configuration log. Replays entries strictly in the order of their sequence numbers, whatever the order in
/// which the store and the peers deliver them. Only committed entries may be added: an entry whose commit is uncertain may lose its number
/// to another entry, and a host that had applied it would differ from all others permanently.
/// Not thread-safe.
class ConfigurationLog
{
public:
    /// Adds a committed entry, then replays the pending entries that follow it.
    AddOutcome add(LogEntry entry);

    /// The sequence number of the last replayed entry; 0 before the first.
    std::int64_t version() const;

    const ConfigurationState &state() const;

    /// The range of entries to request from the store or a peer, up to the one before the first pending entry; nothing if none is pending.
    std::optional<SequenceRange> missingRange() const;

    /// Returns up to `limit` replayed entries after `sequence`, for a peer; an empty list if there are none. std::nullopt if some of them are no
    /// longer kept; the peer then needs a snapshot.
    std::optional<std::vector<LogEntry>> entriesAfter(std::int64_t sequence, std::size_t limit) const;

    /// The entry by which exactly this ticket took effect, or null if it is not among the kept entries: the last 512 or 16 MB, without those
    /// before a restore(). The pointer is valid until the next add() or restore().
    const LogEntry *findTicket(const Ticket &ticket) const;

    /// The sequence number of the last entry that changed the list of hosts, 0 if none did.
    std::int64_t hostsSequence() const;

    /// The names of the hosts listed before that entry.
    const std::vector<std::string> &previousHosts() const;

    /// The names of the hosts listed now.
    std::vector<std::string> hostNames() const;

    ConfigurationSnapshot snapshot() const;

    /// Replaces the state by the snapshot if that is ahead of this replica, drops the kept entries, and replays the pending ones that follow;
    /// returns false otherwise.
    bool restore(ConfigurationSnapshot snapshot);

private:
    struct RecentEntry
    {
        LogEntry entry;
        bool isApplied = false;
    };

    AddOutcome addPending(LogEntry entry);
    AddOutcome replay(LogEntry entry);
    void replayPending();
    void addRecent(LogEntry entry, bool isApplied);
    std::size_t pendingBytes() const;

    ConfigurationState state_;
    std::int64_t version_ = 0;
    std::int64_t hostsSequence_ = 0;
    std::vector<std::string> previousHosts_;
    std::map<std::int64_t, LogEntry> pending_;
    std::deque<RecentEntry> recent_; ///< The last element is the entry `version_`.
    std::size_t recentBytes_ = 0;
};

} // namespace Lovageloft
