#include "coordination/configuration_log_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/digest.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t sequenceDigits = 12;
constexpr std::int64_t blockSize = 100;
constexpr std::size_t blockDigits = 2; // The digits of a sequence number within its block.
constexpr std::size_t partSize = 500'000;
constexpr int snapshotReadAttempts = 3;
/// Writes of the last entry in force: one that may meet another host's, and one that goes on from what that host wrote.
constexpr int recordAttempts = 2;

std::string padded(std::int64_t number, std::size_t digits)
{
    std::string text = std::to_string(number);
    return text.size() < digits ? std::string(digits - text.size(), '0') + text : text;
}

std::int64_t numberIn(std::string_view text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

ConfigurationLogStore::ConfigurationLogStore(Store &store, std::string prefix)
    : store_(store)
    , prefix_(std::move(prefix))
{
}

StoreStatus ConfigurationLogStore::catchUp(ConfigurationLog &log)
{
    if (log.version() == 0) {
        StoreStatus status = StoreStatus::Ok;
        auto snapshot = readSnapshot(status);
        if (snapshot.has_value()) {
            log.restore(std::move(*snapshot));
        } else if (status != StoreStatus::NotFound && status != StoreStatus::Ok) {
            return status;
        }
    }
    while (true) {
        std::optional<LogEntry> next;
        const StoreStatus status = read(log.version() + 1, next);
        if (status == StoreStatus::NotFound) {
            // A log that ends before its snapshot has lost its old entries, and the snapshot could not be read. Taken for the whole log
            // it would make this host serve, as confirmed, a state long past; callers would notice keys that work again.
            return log.version() < lastSnapshot_ ? StoreStatus::Unavailable : StoreStatus::Ok;
        }
        if (status != StoreStatus::Ok) {
            return status;
        }
        const StoreStatus blockStatus = addBlock(log);
        if (blockStatus != StoreStatus::Ok) {
            return blockStatus;
        }
    }
}

/// Adds the rest of the block that holds the next entry. The whole log is never listed: it grows by 2,200 entries a day,
/// and a start would take longer each week and at last exceed the memory of a small host.
StoreStatus ConfigurationLogStore::addBlock(ConfigurationLog &log)
{
    const std::int64_t next = log.version() + 1;
    const auto entries = readRange({next, next + blockSize - 1 - next % blockSize});
    if (!entries.has_value()) {
        return StoreStatus::Unavailable;
    }
    for (const LogEntry &entry : *entries) {
        log.add(entry);
    }
    return log.version() < next ? StoreStatus::Unavailable : StoreStatus::Ok;
}

std::size_t ConfigurationLogStore::addWatchedEntries(ConfigurationLog &log, std::span<const StoreEntry> entries) const
{
    std::size_t added = 0;
    for (const StoreEntry &stored : entries) {
        if (stored.isDeleted || !stored.key.starts_with(logPrefix())) {
            continue;
        }
        const AddOutcome outcome = log.add(entryOf(stored));
        added += outcome == AddOutcome::Duplicate || outcome == AddOutcome::Dropped ? 0 : 1;
    }
    return added;
}

StoreReply ConfigurationLogStore::create(const LogEntry &entry)
{
    return store_.compareAndSwap(entryKey(entry.sequence), 0, formatLogEntry(entry));
}

StoreStatus ConfigurationLogStore::read(std::int64_t sequence, std::optional<LogEntry> &entry)
{
    const StoreReply reply = store_.get(entryKey(sequence));
    if (reply.status == StoreStatus::Ok) {
        entry = entryOf(reply.entry);
    }
    return reply.status;
}

std::optional<std::vector<LogEntry>> ConfigurationLogStore::readRange(SequenceRange range)
{
    const std::int64_t block = range.first / blockSize;
    std::vector<LogEntry> entries;
    for (std::int64_t current = block; current <= range.last / blockSize && current <= block + 1; ++current) {
        const StoreListReply reply = store_.list(logPrefix() + padded(current, sequenceDigits - blockDigits));
        if (reply.status != StoreStatus::Ok) {
            return std::nullopt;
        }
        for (const StoreEntry &stored : reply.entries) {
            const std::int64_t sequence = numberIn(std::string_view(stored.key).substr(logPrefix().size()));
            if (sequence < range.first || sequence > range.last || entries.size() >= blockSize) {
                continue;
            }
            entries.push_back(entryOf(stored));
        }
    }
    return entries;
}

/// An entry that can't be read still takes its number, with a ticket that is valid nowhere. Without that a single damaged
/// value would stop every host at the entry before it, which operators would notice as tickets that never come into force.
LogEntry ConfigurationLogStore::entryOf(const StoreEntry &stored) const
{
    const std::int64_t sequence = numberIn(std::string_view(stored.key).substr(logPrefix().size()));
    Reason reason;
    std::optional<LogEntry> entry = parseLogEntry(stored.value, reason);
    if (!entry.has_value() || entry->sequence != sequence) {
        entry = LogEntry{};
        entry->sequence = sequence;
    }
    return std::move(*entry);
}

bool ConfigurationLogStore::writeSnapshotIfDue(const ConfigurationLog &log, std::int64_t interval)
{
    if (log.version() - lastSnapshot_ < interval) {
        return false;
    }
    Pointer pointer;
    const StoreStatus status = readPointer(pointer);
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound) {
        return false;
    }
    if (log.version() - lastSnapshot_ < interval) {
        return false;
    }
    const std::string text = formatSnapshot(log.snapshot());
    std::size_t parts = 0;
    if (!writeParts(log.version(), text, parts)) {
        return false;
    }
    const std::string value = std::to_string(log.version()) + ' ' + std::to_string(parts) + ' ' + sha256Hex(text);
    if (store_.compareAndSwap(prefix_ + "config/snapshot", pointer.revision, value).status != StoreStatus::Ok) {
        return false;
    }
    lastSnapshot_ = log.version();
    deletePartsBefore(log.version());
    return true;
}

bool ConfigurationLogStore::writeParts(std::int64_t sequence, std::string_view text, std::size_t &parts)
{
    for (std::size_t begin = 0; begin < text.size(); begin += partSize) {
        const StoreStatus status = store_.compareAndSwap(partKey(sequence, parts), 0, text.substr(begin, partSize)).status;
        // A conflict is another host's part of the same entry's snapshot, which has the same text.
        if (status != StoreStatus::Ok && status != StoreStatus::Conflict) {
            return false;
        }
        ++parts;
    }
    return true;
}

void ConfigurationLogStore::deletePartsBefore(std::int64_t sequence)
{
    for (const StoreEntry &part : store_.list(partsPrefix()).entries) {
        if (part.key < partKey(sequence, 0)) {
            store_.compareAndDelete(part.key, part.revision);
        }
    }
}

std::optional<ConfigurationSnapshot> ConfigurationLogStore::readSnapshot(StoreStatus &status)
{
    // A newer snapshot may delete the parts between the two reads; the pointer is then read again.
    for (int attempt = 0; attempt < snapshotReadAttempts; ++attempt) {
        Pointer pointer;
        status = readPointer(pointer);
        if (status != StoreStatus::Ok) {
            return std::nullopt;
        }
        std::string text;
        status = readParts(pointer, text);
        if (status == StoreStatus::Unavailable || status == StoreStatus::AnswerLost) {
            return std::nullopt;
        }
        Reason reason;
        auto snapshot = parseSnapshot(text, reason);
        if (status == StoreStatus::Ok && sha256Hex(text) == pointer.digest && snapshot.has_value()) {
            return snapshot;
        }
    }
    status = StoreStatus::NotFound;
    return std::nullopt;
}

std::optional<std::int64_t> ConfigurationLogStore::readInForce()
{
    if (!takeInForce(store_.get(inForceKey()))) {
        return std::nullopt;
    }
    return inForce_.sequence;
}

std::optional<std::int64_t> ConfigurationLogStore::recordInForce(std::int64_t sequence)
{
    for (int attempt = 0; attempt < recordAttempts && inForce_.sequence < sequence; ++attempt) {
        const StoreReply reply = store_.compareAndSwap(inForceKey(), inForce_.revision, std::to_string(sequence));
        if (reply.status == StoreStatus::Ok) {
            inForce_ = {sequence, reply.entry.revision};
            break;
        }
        if (reply.status != StoreStatus::Conflict || !readInForce().has_value()) {
            return std::nullopt;
        }
    }
    return inForce_.sequence < sequence ? std::nullopt : std::optional(inForce_.sequence);
}

bool ConfigurationLogStore::takeInForce(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        inForce_.revision = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    inForce_ = {std::max(inForce_.sequence, numberIn(reply.entry.value)), reply.entry.revision};
    return true;
}

StoreStatus ConfigurationLogStore::readPointer(Pointer &pointer)
{
    const StoreReply reply = store_.get(prefix_ + "config/snapshot");
    pointer.revision = reply.entry.revision;
    const std::string_view value = reply.entry.value;
    const std::size_t first = value.find(' ');
    const std::size_t second = value.rfind(' ');
    if (reply.status == StoreStatus::Ok && first != std::string_view::npos && second > first) {
        pointer.sequence = numberIn(value.substr(0, first));
        pointer.parts = static_cast<std::size_t>(numberIn(value.substr(first + 1, second - first - 1)));
        pointer.digest = value.substr(second + 1);
        lastSnapshot_ = std::max(lastSnapshot_, pointer.sequence);
    }
    return reply.status;
}

StoreStatus ConfigurationLogStore::readParts(const Pointer &pointer, std::string &text)
{
    for (std::size_t part = 0; part < pointer.parts; ++part) {
        const StoreReply reply = store_.get(partKey(pointer.sequence, part));
        if (reply.status != StoreStatus::Ok) {
            return reply.status;
        }
        text += reply.entry.value;
    }
    return StoreStatus::Ok;
}

std::string ConfigurationLogStore::logPrefix() const
{
    return prefix_ + "config/log/";
}

std::string ConfigurationLogStore::inForceKey() const
{
    return prefix_ + "config/in-force";
}

std::string ConfigurationLogStore::entryKey(std::int64_t sequence) const
{
    return logPrefix() + padded(sequence, sequenceDigits);
}

std::string ConfigurationLogStore::partsPrefix() const
{
    return prefix_ + "config/snapshot-parts/";
}

std::string ConfigurationLogStore::partKey(std::int64_t sequence, std::size_t part) const
{
    constexpr std::size_t partDigits = 4;
    return partsPrefix() + padded(sequence, sequenceDigits) + '/' + padded(static_cast<std::int64_t>(part), partDigits);
}

} // namespace Lovageloft
