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

/// The configuration log as it lies in the store: one key an entry below `PREFIXconfig/log/`, and a snapshot. Entries are only
/// ever created, never changed or deleted, so that the log is the audit trail. A snapshot is a pointer at `PREFIXconfig/snapshot`
/// to numbered parts, since the state of the target size (580 teams, 1,000 targets) comes near the megabyte that a value may have.
class ConfigurationLogStore
{
public:
    /// `prefix` ends in "/" or is empty. The store must outlive this object.
    ConfigurationLogStore(Store &store, std::string prefix);

    /// Brings the replica up to the store. Ok means that every entry committed before this call began is in `log`, so a
    /// freshness gate may take the time at which it began as confirmed; the store's reads must be linearizable for that. One read when nothing is new; an empty
    /// replica first takes the snapshot.
    StoreStatus catchUp(ConfigurationLog &log);

    /// Adds the entries that a watch below logPrefix() brought; returns how many of them were new.
    std::size_t addWatchedEntries(ConfigurationLog &log, std::span<const StoreEntry> entries) const;

    /// The reply of one attempt to create the entry's key. A conflict's reply may hold the entry that came first.
    StoreReply create(const LogEntry &entry);

    /// Reads one entry. In an Ok reply without an `entry` the key is there and its value is not an entry: hosts skip it.
    StoreStatus read(std::int64_t sequence, std::optional<LogEntry> &entry);

    /// The entries from `range.first` to `range.last`, at most 100 of them, as long as there are such; nothing if the store gave no answer.
    std::optional<std::vector<LogEntry>> readRange(SequenceRange range);

    /// Writes a snapshot of the replica if the last one is at least `interval` entries older. A lost race or answer does no
    /// harm: the snapshot is a cache, and the next entry tries again. Returns whether one was written.
    bool writeSnapshotIfDue(const ConfigurationLog &log, std::int64_t interval = defaultSnapshotInterval);

    /// The snapshot, or nothing if there is none or it can't be read; `status` tells which.
    std::optional<ConfigurationSnapshot> readSnapshot(StoreStatus &status);

    /// The last entry that a host wrote down as in force, 0 if none did. Once true it stays true, so an old answer does no harm.
    /// Nothing if the store gave no answer.
    std::optional<std::int64_t> readInForce();

    /// Writes down that the entry is in force, unless a later one is known to be. Returns the last entry then known to be written
    /// down, or nothing if the store gave no answer or another host came first more than once.
    std::optional<std::int64_t> recordInForce(std::int64_t sequence);

    /// Where the entries lie, for a watch.
    std::string logPrefix() const;

    std::string entryKey(std::int64_t sequence) const;

    /// At 2,200 changes a day a snapshot of up to a few megabytes every hour or so, and a start reads two blocks at most.
    static constexpr std::int64_t defaultSnapshotInterval = 100;

private:
    /// The value of the snapshot key.
    struct Pointer
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

    bool takeInForce(const StoreReply &reply);
    StoreStatus readPointer(Pointer &pointer);
    StoreStatus readParts(const Pointer &pointer, std::string &text);
    bool writeParts(std::int64_t sequence, std::string_view text, std::size_t &parts);
    void deletePartsBefore(std::int64_t sequence);
    StoreStatus addBlock(ConfigurationLog &log);
    LogEntry entryOf(const StoreEntry &stored) const;
    std::string inForceKey() const;
    std::string partsPrefix() const;
    std::string partKey(std::int64_t sequence, std::size_t part) const;

    Store &store_;
    std::string prefix_;
    std::int64_t lastSnapshot_ = 0; ///< The newest snapshot known to have been in the store; saves a read for each entry.
    InForceRecord inForce_;
};

} // namespace Lovageloft
