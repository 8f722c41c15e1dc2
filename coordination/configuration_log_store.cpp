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
constexpr std::size_t blockDigits = 2; // The last digits of a sequence number, which number it within its block.
constexpr std::size_t maxPartBytes = 500'000;
constexpr int maxSnapshotReadAttempts = 3;
/// Attempts to record the last entry in force: the first may conflict with the write of another host, and the second uses the revision read
/// after that.
constexpr int maxRecordAttempts = 2;

std::string zeroPadded(std::int64_t number, std::size_t digits)
{
    std::string text = std::to_string(number);
    return text.size() < digits ? std::string(digits - text.size(), '0') + text : text;
}

std::int64_t parseNumber(std::string_view text)
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
            // A log that ends before its snapshot has lost its old entries, and the snapshot could not be read. If this were treated as the
            // complete log, the host would serve a long outdated state as confirmed, and withdrawn keys would work again.
            return log.version() < lastSnapshotSequence_ ? StoreStatus::Unavailable : StoreStatus::Ok;
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

/// Adds the rest of the block that contains the next entry. Listing the complete log is avoided: it grows by 2,200 entries a day, so starts
/// would get slower each week and finally exceed the memory of a small host.
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
        const AddOutcome outcome = log.add(parseStored(stored));
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
        entry = parseStored(reply.entry);
    }
    return reply.status;
}

std::optional<std::vector<LogEntry>> ConfigurationLogStore::readRange(SequenceRange range)
{
    const std::int64_t block = range.first / blockSize;
    std::vector<LogEntry> entries;
    for (std::int64_t current = block; current <= range.last / blockSize && current <= block + 1; ++current) {
        const StoreListReply reply = store_.list(logPrefix() + zeroPadded(current, sequenceDigits - blockDigits));
        if (reply.status != StoreStatus::Ok) {
            return std::nullopt;
        }
        for (const StoreEntry &stored : reply.entries) {
            const std::int64_t sequence = parseNumber(std::string_view(stored.key).substr(logPrefix().size()));
            if (sequence < range.first || sequence > range.last || entries.size() >= blockSize) {
                continue;
            }
            entries.push_back(parseStored(stored));
        }
    }
    return entries;
}

/// Parses a stored entry. An entry that can't be read still takes its number, with a ticket that is never valid. Otherwise a single damaged
/// value would stop every host at the entry before it, and no later ticket would come into force.
LogEntry ConfigurationLogStore::parseStored(const StoreEntry &stored) const
{
    const std::int64_t sequence = parseNumber(std::string_view(stored.key).substr(logPrefix().size()));
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
    if (log.version() - lastSnapshotSequence_ < interval) {
        return false;
    }
    SnapshotPointer pointer;
    const StoreStatus status = readPointer(pointer);
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound) {
        return false;
    }
    if (log.version() - lastSnapshotSequence_ < interval) {
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
    lastSnapshotSequence_ = log.version();
    deletePartsBefore(log.version());
    return true;
}

bool ConfigurationLogStore::writeParts(std::int64_t sequence, std::string_view text, std::size_t &parts)
{
    for (std::size_t begin = 0; begin < text.size(); begin += maxPartBytes) {
        const StoreStatus status = store_.compareAndSwap(partKey(sequence, parts), 0, text.substr(begin, maxPartBytes)).status;
        // A conflict means that another host wrote this part of a snapshot at the same entry, which has the same text.
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
    // Another host may write a newer snapshot and delete these parts between the two reads; the pointer is then read again.
    for (int attempt = 0; attempt < maxSnapshotReadAttempts; ++attempt) {
        SnapshotPointer pointer;
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
    if (!applyInForceReply(store_.get(inForceKey()))) {
        return std::nullopt;
    }
    return inForce_.sequence;
}

std::optional<std::int64_t> ConfigurationLogStore::recordInForce(std::int64_t sequence)
{
    for (int attempt = 0; attempt < maxRecordAttempts && inForce_.sequence < sequence; ++attempt) {
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

bool ConfigurationLogStore::applyInForceReply(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        inForce_.revision = 0;
        return true;
    }
    if (reply.status != StoreStatus::Ok) {
        return false;
    }
    inForce_ = {std::max(inForce_.sequence, parseNumber(reply.entry.value)), reply.entry.revision};
    return true;
}

StoreStatus ConfigurationLogStore::readPointer(SnapshotPointer &pointer)
{
    const StoreReply reply = store_.get(prefix_ + "config/snapshot");
    pointer.revision = reply.entry.revision;
    const std::string_view value = reply.entry.value;
    const std::size_t first = value.find(' ');
    const std::size_t second = value.rfind(' ');
    if (reply.status == StoreStatus::Ok && first != std::string_view::npos && second > first) {
        pointer.sequence = parseNumber(value.substr(0, first));
        pointer.parts = static_cast<std::size_t>(parseNumber(value.substr(first + 1, second - first - 1)));
        pointer.digest = value.substr(second + 1);
        lastSnapshotSequence_ = std::max(lastSnapshotSequence_, pointer.sequence);
    }
    return reply.status;
}

StoreStatus ConfigurationLogStore::readParts(const SnapshotPointer &pointer, std::string &text)
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
    return logPrefix() + zeroPadded(sequence, sequenceDigits);
}

std::string ConfigurationLogStore::partsPrefix() const
{
    return prefix_ + "config/snapshot-parts/";
}

std::string ConfigurationLogStore::partKey(std::int64_t sequence, std::size_t part) const
{
    constexpr std::size_t partDigits = 4;
    return partsPrefix() + zeroPadded(sequence, sequenceDigits) + '/' + zeroPadded(static_cast<std::int64_t>(part), partDigits);
}

} // namespace Lovageloft
