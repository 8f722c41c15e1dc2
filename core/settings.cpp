#include "core/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

#include <toml++/toml.h>

namespace Lovageloft
{

namespace
{

constexpr std::int64_t maxTimeMs = 3'600'000;
constexpr std::int64_t maxTextLength = 256;

constexpr std::array specs = std::to_array<SettingSpec>({
    {"host", "name", &Settings::hostName, 1, 64, "text", "Name of this host, unique in the deployment."},
    {"host", "data_centre", &Settings::dataCentre, 1, 64, "text", "Data centre that the host stands in."},
    {"callers", "address", &Settings::callerAddress, 1, 64, "IP number", "Address that callers connect to."},
    {"callers", "port", &Settings::callerPort, 0, 65'535, "port", "Port that callers connect to; 0 takes any free one."},
    {"callers", "threads", &Settings::callerThreads, 4, 20'000, "connections", "Connections served at once."},
    {"callers", "body_limit", &Settings::bodyLimit, 1'024, 67'108'864, "bytes", "Largest body of a request."},
    {"callers",
     "memory",
     &Settings::callerMemory,
     0,
     1'000'000'000'000,
     "bytes",
     "Memory for the connections and requests of all callers, 8000000 at least; 0: 0.4 of what the machine allows."},
    {"callers", "header_field_limit", &Settings::headerFieldLimit, 8, 1'000, "fields", "Most header fields of a request."},
    {"callers", "header_timeout", &Settings::headerTimeout, 100, maxTimeMs, "ms", "Longest time for a request's header and body to arrive."},
    {"callers", "keep_alive_timeout", &Settings::keepAliveTimeout, 100, maxTimeMs, "ms", "Longest idle time of a caller's connection."},
    {"operators", "address", &Settings::operatorAddress, 1, 64, "IP number", "Address for operator calls."},
    {"operators", "port", &Settings::operatorPort, 0, 65'535, "port", "Port for operator calls; 0 takes any free one."},
    {"operators", "key_digest", &Settings::operatorKeyDigest, 0, 64, "hexadecimal", "SHA-256 of the operators' key; empty refuses all operator calls."},
    {"peers", "address", &Settings::peerAddress, 1, 64, "IP number", "Address for the other hosts."},
    {"peers", "port", &Settings::peerPort, 0, 65'535, "port", "Port for the other hosts; 0 takes any free one."},
    {"peers", "secret", &Settings::peerSecret, 0, maxTextLength, "text", "Secret shared by all hosts; empty refuses all peers."},
    {"peers", "known", &Settings::peers, 0, 1'000, "ADDRESS:PORT", "Hosts known at the start."},
    {"store", "kind", &Settings::storeKind, 1, 16, "text", "Which store keeps the configuration.", "memory|etcd"},
    {"store", "endpoints", &Settings::storeEndpoints, 0, 16, "ADDRESS:PORT", "The store's HTTP/JSON gateways."},
    {"store", "prefix", &Settings::storePrefix, 1, maxTextLength, "text", "First part of every key in the store."},
    {"store", "timeout", &Settings::storeTimeout, 10, 60'000, "ms", "Longest wait for the store's answer."},
    {"store", "seed_tickets", &Settings::seedTickets, 0, 100, "paths", "Ticket files applied at the start on the memory store."},
    {"routing", "freshness_window", &Settings::freshnessWindow, 500, 60'000, "ms", "How long a confirmation of the configuration counts."},
    {"routing", "queue_deadline", &Settings::queueDeadline, 10, 600'000, "ms", "Longest time a request may wait for an engine."},
    {"routing", "engine_timeout", &Settings::engineTimeout, 100, 600'000, "ms", "Longest silence of an engine within an answer."},
    {"routing", "connect_timeout", &Settings::connectTimeout, 10, 60'000, "ms", "Longest wait for a connection to a target."},
    {"routing", "drain_notice", &Settings::drainNotice, 0, 600'000, "ms", "New work is still served this long after /ready began to fail."},
    {"routing", "drain_limit", &Settings::drainLimit, 0, maxTimeMs, "ms", "Longest wait for running answers at a graceful shutdown."},
    {"routing", "ring_capacity", &Settings::ringCapacity, 16, 1'000'000, "requests", "Requests between two duties."},
    {"log", "level", &Settings::logLevel, 1, 16, "text", "Least level of a log record.", "debug|info|warning|error"},
});

/// Where a value is in the settings file, for error messages.
struct Location
{
    std::string_view file;
    std::int64_t line;
    std::string name;
};

void setError(Reason &reason, ResultCode code, const Location &location, std::string_view what, std::string_view allowed)
{
    std::ostringstream out;
    out << location.file << ':' << location.line << ": " << location.name << ": " << what << "; allowed: " << allowed;
    reason = {code, out.str()};
}

std::string typeName(const SettingSpec &spec)
{
    constexpr std::array<std::string_view, 3> names{"a whole number", "a text", "a list of texts"};
    return std::string(names.at(spec.member.index()));
}

bool isChoice(std::string_view choices, std::string_view value)
{
    while (!choices.empty()) {
        const std::size_t end = std::min(choices.find('|'), choices.size());
        if (choices.substr(0, end) == value) {
            return true;
        }
        choices.remove_prefix(std::min(end + 1, choices.size()));
    }
    return false;
}

bool isInRange(const SettingSpec &spec, std::int64_t value)
{
    return value >= spec.minimum && value <= spec.maximum;
}

bool storeNumber(const SettingSpec &spec, const toml::node &node, const Location &location, Settings &settings, Reason &reason)
{
    const auto value = node.value_exact<std::int64_t>();
    if (!value) {
        setError(reason, ResultCode::SettingsWrongType, location, "must be " + typeName(spec), settingRange(spec));
        return false;
    }
    if (!isInRange(spec, *value)) {
        setError(reason, ResultCode::SettingsOutOfRange, location, std::to_string(*value) + " is out of range", settingRange(spec));
        return false;
    }
    settings.*std::get<std::int64_t Settings::*>(spec.member) = *value;
    return true;
}

bool storeText(const SettingSpec &spec, const toml::node &node, const Location &location, Settings &settings, Reason &reason)
{
    const auto value = node.value_exact<std::string>();
    if (!value) {
        setError(reason, ResultCode::SettingsWrongType, location, "must be " + typeName(spec), settingRange(spec));
        return false;
    }
    const bool isAllowed = spec.choices.empty() ? isInRange(spec, static_cast<std::int64_t>(value->size())) : isChoice(spec.choices, *value);
    if (!isAllowed) {
        setError(reason, ResultCode::SettingsOutOfRange, location, "is not allowed", settingRange(spec));
        return false;
    }
    settings.*std::get<std::string Settings::*>(spec.member) = *value;
    return true;
}

bool storeList(const SettingSpec &spec, const toml::node &node, const Location &location, Settings &settings, Reason &reason)
{
    const toml::array *array = node.as_array();
    std::vector<std::string> values;
    for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
        const auto value = (*array)[i].value_exact<std::string>();
        if (!value) {
            array = nullptr;
            break;
        }
        values.push_back(*value);
    }
    if (array == nullptr) {
        setError(reason, ResultCode::SettingsWrongType, location, "must be " + typeName(spec), settingRange(spec));
        return false;
    }
    if (!isInRange(spec, static_cast<std::int64_t>(values.size()))) {
        setError(reason, ResultCode::SettingsOutOfRange, location, "has too many entries", settingRange(spec));
        return false;
    }
    settings.*std::get<std::vector<std::string> Settings::*>(spec.member) = std::move(values);
    return true;
}

bool storeValue(const SettingSpec &spec, const toml::node &node, const Location &location, Settings &settings, Reason &reason)
{
    using Setter = bool (*)(const SettingSpec &, const toml::node &, const Location &, Settings &, Reason &);
    constexpr std::array<Setter, 3> setters{&storeNumber, &storeText, &storeList};
    return setters.at(spec.member.index())(spec, node, location, settings, reason);
}

std::string sectionKeys(std::string_view section)
{
    std::string keys;
    for (const SettingSpec &spec : specs) {
        if (spec.section != section) {
            continue;
        }
        keys += keys.empty() ? "" : ", ";
        keys += spec.key;
    }
    return keys;
}

std::string sectionNames()
{
    std::string names;
    std::string_view last;
    for (const SettingSpec &spec : specs) {
        if (spec.section == last) {
            continue;
        }
        last = spec.section;
        names += names.empty() ? "" : ", ";
        names += last;
    }
    return names;
}

bool readSection(std::string_view section, const toml::table &table, std::string_view file, Settings &settings, Reason &reason)
{
    for (const auto &[key, node] : table) {
        const Location location{file, node.source().begin.line, std::string(section) + '.' + std::string(key.str())};
        const std::string_view name = key.str();
        const auto spec =
            std::find_if(specs.begin(), specs.end(), [&](const SettingSpec &candidate) { return candidate.section == section && candidate.key == name; });
        if (spec == specs.end()) {
            setError(reason, ResultCode::SettingsUnknownKey, location, "unknown key", sectionKeys(section));
            return false;
        }
        if (!storeValue(*spec, node, location, settings, reason)) {
            return false;
        }
    }
    return true;
}

/// Checks what concerns several keys or all entries of a list: required keys, a store without an endpoint, malformed addresses.
bool checkConsistency(const Settings &settings, std::string_view file, Reason &reason)
{
    if (settings.hostName.empty()) {
        setError(reason, ResultCode::SettingsMissing, {file, 1, "host.name"}, "is missing", "1 to 64 characters");
        return false;
    }
    if (settings.storeKind == "etcd" && settings.storeEndpoints.empty()) {
        setError(reason, ResultCode::SettingsMissing, {file, 1, "store.endpoints"}, "is missing", "at least one ADDRESS:PORT when store.kind is \"etcd\"");
        return false;
    }
    for (const auto *list : {&settings.storeEndpoints, &settings.peers}) {
        for (const std::string &text : *list) {
            if (parseHostAddress(text)) {
                continue;
            }
            const std::string name = list == &settings.peers ? "peers.known" : "store.endpoints";
            setError(reason, ResultCode::SettingsOutOfRange, {file, 1, name}, "\"" + text + "\" is no address", "ADDRESS:PORT, port 1 to 65535");
            return false;
        }
    }
    return true;
}

} // namespace

std::span<const SettingSpec> settingSpecs()
{
    return specs;
}

std::string settingRange(const SettingSpec &spec)
{
    if (!spec.choices.empty()) {
        return std::string(spec.choices);
    }
    constexpr std::array<std::string_view, 3> units{"", " characters", " entries"};
    return std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum) + std::string(units.at(spec.member.index()));
}

std::optional<Settings> parseSettings(std::string_view text, std::string_view file, Reason &reason)
{
    toml::table document;
    try {
        document = toml::parse(text);
    } catch (const toml::parse_error &error) {
        setError(reason, ResultCode::SettingsSyntax, {file, error.source().begin.line, "syntax"}, error.description(), "TOML 1.0");
        return std::nullopt;
    }
    Settings settings;
    for (const auto &[section, node] : document) {
        const Location location{file, node.source().begin.line, std::string(section.str())};
        const std::string keys = sectionKeys(section.str());
        if (keys.empty()) {
            setError(reason, ResultCode::SettingsUnknownKey, location, "unknown section", sectionNames());
            return std::nullopt;
        }
        const toml::table *table = node.as_table();
        if (table == nullptr) {
            setError(reason, ResultCode::SettingsWrongType, location, "must be a section", keys);
            return std::nullopt;
        }
        if (!readSection(section.str(), *table, file, settings, reason)) {
            return std::nullopt;
        }
    }
    if (!checkConsistency(settings, file, reason)) {
        return std::nullopt;
    }
    return settings;
}

std::optional<Settings> loadSettings(const std::string &path, Reason &reason)
{
    std::ifstream in(path);
    if (!in) {
        setError(reason, ResultCode::SettingsUnreadable, {path, 0, "file"}, "can't be read", "a readable TOML file");
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), path, reason);
}

std::optional<HostAddress> parseHostAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0 || port > 65'535) {
        return std::nullopt;
    }
    return HostAddress{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::string hostAddressText(const HostAddress &address)
{
    return address.host + ':' + std::to_string(address.port);
}

} // namespace Lovageloft
