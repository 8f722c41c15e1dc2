#include "coordination/configuration_log.h"

#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

// The control plane of a host may use 256 MB. Entries may have up to a megabyte, so both sets are limited in bytes and in number.
constexpr std::size_t maxPendingEntries = 256;
constexpr std::size_t maxPendingBytes = 8'000'000;
constexpr std::size_t maxRecentEntries = 512;
constexpr std::size_t maxRecentBytes = 16'000'000;

/// The approximate memory use of an entry, computed from its parts of variable size.
std::size_t approximateSize(const LogEntry &entry)
{
    std::size_t size = sizeof(LogEntry);
    for (const ConfigurationObject &object : entry.ticket.objects) {
        size += sizeof(ConfigurationObject);
        if (const auto *team = std::get_if<TeamConfiguration>(&object)) {
            for (const KeyDigest &key : team->keys) {
                size += sizeof(KeyDigest) + key.id.size() + key.salt.size() + key.digest.size();
            }
        } else if (const auto *hosts = std::get_if<HostsConfiguration>(&object)) {
            size += hosts->hosts.size() * sizeof(HostEntry);
        } else if (const auto *target = std::get_if<TargetConfiguration>(&object)) {
            size += target->nonIdempotent.size() * sizeof(NonIdempotentRoute);
        }
    }
    return size;
}

std::vector<std::string> namesOf(const std::vector<HostEntry> &hosts)
{
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const HostEntry &host : hosts) {
        names.push_back(host.name);
    }
    return names;
}

std::optional<ConfigurationSnapshot> readSnapshot(std::string_view json, Reason &reason)
{
    Poco::JSON::Parser parser;
    const auto document = parser.parse(std::string(json)).extract<Poco::JSON::Object::Ptr>();
    std::ostringstream stateText;
    document->get("state").extract<Poco::JSON::Object::Ptr>()->stringify(stateText);
    auto state = parseConfigurationState(stateText.str(), reason);
    if (!state.has_value()) {
        return std::nullopt;
    }
    ConfigurationSnapshot snapshot{document->getValue<std::int64_t>("sequence"), std::move(*state), document->getValue<std::int64_t>("hosts_sequence"), {}};
    const Poco::JSON::Array::Ptr names = document->getArray("previous_hosts");
    for (unsigned i = 0; !names.isNull() && i < names->size(); ++i) {
        snapshot.previousHosts.push_back(names->getElement<std::string>(i));
    }
    return snapshot;
}

} // namespace

std::string formatSnapshot(const ConfigurationSnapshot &snapshot)
{
    std::string text = "{\"sequence\":" + std::to_string(snapshot.sequence);
    text += ",\"hosts_sequence\":" + std::to_string(snapshot.hostsSequence) + ",\"previous_hosts\":[";
    std::string_view separator;
    for (const std::string &name : snapshot.previousHosts) {
        text += separator;
        appendJsonString(text, name);
        separator = ",";
    }
    text += "],\"state\":" + snapshot.state.toJson() + "}";
    return text;
}

std::optional<ConfigurationSnapshot> parseSnapshot(std::string_view json, Reason &reason)
{
    try {
        return readSnapshot(json, reason);
    } catch (const Poco::Exception &) {
        reason = {ResultCode::TicketInvalid, "not a snapshot"};
    }
    return std::nullopt;
}

AddOutcome ConfigurationLog::add(LogEntry entry)
{
    if (entry.sequence <= version_ || pending_.contains(entry.sequence)) {
        return AddOutcome::Duplicate;
    }
    if (entry.sequence > version_ + 1) {
        return addPending(std::move(entry));
    }
    const AddOutcome outcome = replay(std::move(entry));
    replayPending();
    return outcome;
}

AddOutcome ConfigurationLog::addPending(LogEntry entry)
{
    const std::int64_t sequence = entry.sequence;
    pending_.emplace(sequence, std::move(entry));
    // Drops the entries that are furthest ahead: those nearer are needed first, and a peer or the store can deliver the others again.
    while (pending_.size() > maxPendingEntries || (pendingBytes() > maxPendingBytes && pending_.size() > 1)) {
        pending_.erase(std::prev(pending_.end()));
    }
    return pending_.contains(sequence) ? AddOutcome::Pending : AddOutcome::Dropped;
}

AddOutcome ConfigurationLog::replay(LogEntry entry)
{
    Reason reason;
    std::vector<std::string> hostsBefore = hostNames();
    const std::int64_t hostsTicketBefore = state_.lastTicket("hosts");
    const bool isApplied = !entry.ticket.objects.empty() && state_.apply(entry.ticket, reason);
    version_ = entry.sequence;
    if (state_.lastTicket("hosts") != hostsTicketBefore) {
        hostsSequence_ = version_;
        previousHosts_ = std::move(hostsBefore);
    }
    addRecent(std::move(entry), isApplied);
    return isApplied ? AddOutcome::Applied : AddOutcome::Skipped;
}

void ConfigurationLog::replayPending()
{
    while (!pending_.empty() && pending_.begin()->first <= version_ + 1) {
        auto node = pending_.extract(pending_.begin());
        if (node.key() == version_ + 1) {
            replay(std::move(node.mapped()));
        }
    }
}

void ConfigurationLog::addRecent(LogEntry entry, bool isApplied)
{
    recentBytes_ += approximateSize(entry);
    recent_.push_back({std::move(entry), isApplied});
    while (recent_.size() > maxRecentEntries || (recentBytes_ > maxRecentBytes && recent_.size() > 1)) {
        recentBytes_ -= approximateSize(recent_.front().entry);
        recent_.pop_front();
    }
}

std::size_t ConfigurationLog::pendingBytes() const
{
    std::size_t size = 0;
    for (const auto &[sequence, entry] : pending_) {
        size += approximateSize(entry);
    }
    return size;
}

std::int64_t ConfigurationLog::version() const
{
    return version_;
}

const ConfigurationState &ConfigurationLog::state() const
{
    return state_;
}

std::optional<SequenceRange> ConfigurationLog::missingRange() const
{
    if (pending_.empty()) {
        return std::nullopt;
    }
    return SequenceRange{version_ + 1, pending_.begin()->first - 1};
}

std::optional<std::vector<LogEntry>> ConfigurationLog::entriesAfter(std::int64_t sequence, std::size_t limit) const
{
    const std::int64_t firstRecent = version_ - static_cast<std::int64_t>(recent_.size()) + 1;
    if (sequence + 1 < firstRecent) {
        return std::nullopt;
    }
    std::vector<LogEntry> entries;
    for (const auto &[entry, isApplied] : recent_) {
        if (entry.sequence <= sequence || entries.size() >= limit) {
            continue;
        }
        entries.push_back(entry);
    }
    return entries;
}

const LogEntry *ConfigurationLog::findTicket(const Ticket &ticket) const
{
    for (const auto &[entry, isApplied] : recent_) {
        if (isApplied && entry.ticket == ticket) {
            return &entry;
        }
    }
    return nullptr;
}

std::int64_t ConfigurationLog::hostsSequence() const
{
    return hostsSequence_;
}

const std::vector<std::string> &ConfigurationLog::previousHosts() const
{
    return previousHosts_;
}

std::vector<std::string> ConfigurationLog::hostNames() const
{
    return namesOf(state_.hosts());
}

ConfigurationSnapshot ConfigurationLog::snapshot() const
{
    return {version_, state_, hostsSequence_, previousHosts_};
}

bool ConfigurationLog::restore(ConfigurationSnapshot snapshot)
{
    if (snapshot.sequence <= version_) {
        return false;
    }
    version_ = snapshot.sequence;
    state_ = std::move(snapshot.state);
    hostsSequence_ = snapshot.hostsSequence;
    previousHosts_ = std::move(snapshot.previousHosts);
    recent_.clear();
    recentBytes_ = 0;
    replayPending();
    return true;
}

} // namespace Lovageloft
