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

/// A state with its place in the log. It is a cache: the log alone decides, and any host may write it or hand it to a peer.
struct ConfigurationSnapshot
{
    std::int64_t sequence = 0; ///< The last entry that went into the state; 0 for the empty log.
    ConfigurationState state;
    std::int64_t hostsSequence = 0; ///< The last entry that changed the list of hosts, 0 if none did.
    std::vector<std::string> previousHosts; ///< The names listed before that entry.
};

/// The snapshot as JSON.
std::string formatSnapshot(const ConfigurationSnapshot &snapshot);

std::optional<ConfigurationSnapshot> parseSnapshot(std::string_view json, Reason &reason);

/// Sequence numbers from `first` to `last`, both included.
struct SequenceRange
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    bool operator==(const SequenceRange &) const = default;
};

/// What became of an entry that was added.
enum class AddOutcome : std::uint8_t
{
    Applied,
    Skipped, ///< In the log, but its ticket is not valid at that point: it counts and changes nothing, on every host.
    Pending, ///< Kept until the entries before it are there.
    Duplicate,
    Dropped, ///< Too far ahead for the bounded set of pending entries; ask for `missing` first.
};

/// One host's replica of the configuration log: replays entries strictly in the order of their numbers, whatever the order in
/// which the store and the peers deliver them. Only committed entries may be added: an entry whose commit is in doubt may lose
/// its number to another one, and a host that had applied it would differ from all others for good. Not thread-safe.
class ConfigurationLog
{
public:
    /// Adds a committed entry, and the pending ones that follow on it.
    AddOutcome add(LogEntry entry);

    /// The number of the last entry replayed; 0 before the first.
    std::int64_t version() const;

    const ConfigurationState &state() const;

    /// The entries to ask the store or a peer for, up to the first pending one; nothing if none is pending.
    std::optional<SequenceRange> missing() const;

    /// Up to `limit` replayed entries that follow on `sequence`, for a peer. Nothing if some of them are no longer kept: the
    /// peer needs a snapshot then.
    std::optional<std::vector<LogEntry>> entriesAfter(std::int64_t sequence, std::size_t limit) const;

    /// The kept entry by which exactly this ticket took effect, null if there is none among the last few hundred.
    const LogEntry *findTicket(const Ticket &ticket) const;

    /// The last entry that changed the list of hosts, 0 if none did.
    std::int64_t hostsSequence() const;

    /// The names of the hosts listed before and after that entry.
    const std::vector<std::string> &previousHosts() const;
    std::vector<std::string> hostNames() const;

    ConfigurationSnapshot snapshot() const;

    /// Takes the snapshot over if it is ahead of this replica; false if it is not.
    bool restore(ConfigurationSnapshot snapshot);

private:
    struct RecentEntry
    {
        LogEntry entry;
        bool isApplied = false;
    };

    AddOutcome keepPending(LogEntry entry);
    AddOutcome replay(LogEntry entry);
    void drainPending();
    void keepRecent(LogEntry entry, bool isApplied);
    std::size_t pendingSize() const;

    ConfigurationState state_;
    std::int64_t version_ = 0;
    std::int64_t hostsSequence_ = 0;
    std::vector<std::string> previousHosts_;
    std::map<std::int64_t, LogEntry> pending_;
    std::deque<RecentEntry> recent_; ///< Ends with the entry `version_`.
    std::size_t recentSize_ = 0;
};

} // namespace Lovageloft
