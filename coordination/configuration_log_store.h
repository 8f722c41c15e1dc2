#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration_log.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// The configuration log as stored: one key for each entry below `PREFIXconfig/log/`, a snapshot, and a record of the last entry in force.
/// Entries are only created, never changed or deleted, so that the log is the audit trail. The snapshot consists of a pointer at
/// `PREFIXconfig/snapshot` and numbered parts, because the state at the intended size (580 teams, 1,000 targets) is close to the limit of a
/// megabyte per value.
class ConfigurationLogStore
{
public:
    /// `prefix` ends in "/" or is empty. The store must outlive this object.
    ConfigurationLogStore(Store &store, std::string prefix);

    /// Adds all entries in the store that the replica lacks. Ok means that every entry committed before this call began is in the replica
    /// `log`, so a freshness gate may use the start of the call as the time of a confirmation; the store's reads must be linearizable for
    /// that. Costs one read if nothing is new. An empty replica is restored from the snapshot first. Unavailable is also returned if the
    /// stored log is incomplete: it ends before its snapshot, or lacks the next entry. After a failure the replica may have advanced partly.
    StoreStatus catchUp(ConfigurationLog &log);

    /// Adds the entries that a watch of logPrefix() delivered. Returns how many of them were new.
    std::size_t addWatchedEntries(ConfigurationLog &log, std::span<const StoreEntry> entries) const;

    /// Makes one attempt to create the key of the entry and returns the store's reply. On a conflict the reply contains the entry that
    /// was created first only if the store returns it; read() gets it in any case.
    StoreReply create(const LogEntry &entry);

    /// Reads one entry. NotFound if there is none of this number. `entry` is set if the status is Ok; if the stored value is not a valid
    /// entry, it has a ticket without objects, and hosts skip it.
    StoreStatus read(std::int64_t sequence, std::optional<LogEntry> &entry);

    /// Reads the existing entries from `range.first` to `range.last`, at most 100 of them. std::nullopt if the store gave no answer.
    std::optional<std::vector<LogEntry>> readRange(SequenceRange range);

    /// Writes a snapshot of the replica if the last one is at least `interval` entries older. A lost race or a lost response is harmless,
    /// because the snapshot is a cache and the write is tried again after the next entry. Returns whether a snapshot was written. The
    /// parts of older snapshots are then deleted.
    bool writeSnapshotIfDue(const ConfigurationLog &log, std::int64_t interval = defaultSnapshotInterval);

    /// Reads the snapshot. Nothing if there is none or it is damaged (`status` is NotFound), or if the store gave no answer (`status` is the
    /// store's).
    std::optional<ConfigurationSnapshot> readSnapshot(StoreStatus &status);

    /// Reads the sequence number of the last entry that a host recorded as in force, 0 if there is none. Nothing if the store gave no answer.
    /// An outdated result is harmless, because an entry that is in force stays in force.
    std::optional<std::int64_t> readInForce();

    /// Records in the store that the entry is in force, unless a later entry is known to be recorded; the store is not asked then. Returns the
    /// last entry known to be recorded, or nothing if the store gave no answer (the record may have been written) or another host's write came
    /// first more than once.
    std::optional<std::int64_t> recordInForce(std::int64_t sequence);

    /// The prefix of the keys of all entries, for a watch.
    std::string logPrefix() const;

    std::string entryKey(std::int64_t sequence) const;

    /// Number of entries between two snapshots. At 2,200 changes a day a snapshot of up to a few megabytes is written about once an hour, and
    /// a starting host reads at most two blocks of 100 entries.
    static constexpr std::int64_t defaultSnapshotInterval = 100;

private:
    /// The value of the snapshot key.
    struct SnapshotPointer
    {
        std::int64_t sequence = 0;
        std::size_t parts = 0;
        std::string digest;
        std::int64_t revision = 0;
    };

    /// The value of the key of the last entry in force.
    struct InForceRecord
    {
        std::int64_t sequence = 0;
        std::int64_t revision = 0;
    };

    bool applyInForceReply(const StoreReply &reply);
    StoreStatus readPointer(SnapshotPointer &pointer);
    StoreStatus readParts(const SnapshotPointer &pointer, std::string &text);
    bool writeParts(std::int64_t sequence, std::string_view text, std::size_t &parts);
    void deletePartsBefore(std::int64_t sequence);
    StoreStatus addBlock(ConfigurationLog &log);
    LogEntry parseStored(const StoreEntry &stored) const;
    std::string inForceKey() const;
    std::string partsPrefix() const;
    std::string partKey(std::int64_t sequence, std::size_t part) const;

    Store &store_;
    std::string prefix_;
    std::int64_t lastSnapshotSequence_ = 0; ///< The newest snapshot known to have been stored; saves a read per entry.
    InForceRecord inForce_;
};

} // namespace Lovageloft
