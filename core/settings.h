#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/result_code.h"

/// The settings of one host, read from a TOML file. Every key is checked; docs/SETTINGS.md lists them all.
namespace Lovageloft
{

/// The address of another process: an IP number and a port.
struct HostAddress
{
    std::string host;
    std::uint16_t port = 0;
};

/// All settings with their defaults. Times are in milliseconds and sizes in bytes unless the name says otherwise.
struct Settings
{
    std::string hostName; ///< Name of this host, unique in the deployment.
    std::string dataCentre = "dc1";

    std::string callerAddress = "127.0.0.1"; ///< Where callers connect.
    std::int64_t callerPort = 8080;
    std::int64_t callerThreads = 1200; ///< Connections served at once.
    std::int64_t bodyLimit = 8'388'608;
    std::int64_t headerFieldLimit = 64;
    std::int64_t headerTimeout = 10'000; ///< From the first byte of a connection to the end of the header and body.
    std::int64_t keepAliveTimeout = 60'000;

    std::string operatorAddress = "127.0.0.1";
    std::int64_t operatorPort = 8081;
    std::string operatorKeyDigest; ///< SHA-256 of the operators' key in hexadecimal; empty: no operator call is taken.

    std::string peerAddress = "127.0.0.1";
    std::int64_t peerPort = 8082;
    std::string peerSecret; ///< Shared by all hosts of the deployment.
    std::vector<std::string> peers; ///< "ADDRESS:PORT" of the other hosts known at the start.

    std::string storeKind = "memory"; ///< "memory" or "etcd".
    std::vector<std::string> storeEndpoints; ///< "ADDRESS:PORT" of the store's HTTP/JSON gateway.
    std::string storePrefix = "lovageloft/";
    std::int64_t storeTimeout = 1'000;
    std::vector<std::string> seedTickets; ///< Ticket files applied at the start of a host on the memory store.

    std::int64_t freshnessWindow = 3'000; ///< How long a confirmation of the configuration counts.
    std::int64_t queueDeadline = 10'000; ///< Longest time a request may wait for an engine.
    std::int64_t engineTimeout = 15'000; ///< Longest silence of an engine within an answer.
    std::int64_t connectTimeout = 1'000;
    std::int64_t drainNotice = 5'000; ///< New work is still served this long after /ready began to fail.
    std::int64_t drainLimit = 600'000; ///< Longest wait for running answers at a graceful shutdown.
    std::int64_t ringCapacity = 4'096; ///< Requests between two duties.

    std::string logLevel = "info";
};

/// One setting: where it stands in the file, where it goes, its range or choices, and its text for the docs.
struct SettingSpec
{
    using Target = std::variant<std::int64_t Settings::*, std::string Settings::*, std::vector<std::string> Settings::*>;

    std::string_view section;
    std::string_view key;
    Target member;
    std::int64_t minimum = 0; ///< For numbers; for texts the least length.
    std::int64_t maximum = 0; ///< For numbers; for texts the greatest length.
    std::string_view unit;
    std::string_view meaning;
    std::string_view choices = {}; ///< Allowed texts separated by "|", or empty for any.
};

/// The table of all settings in the order of the docs.
std::span<const SettingSpec> settingSpecs();

/// The allowed range of a setting in words, as error lines and the docs give it.
std::string settingRange(const SettingSpec &spec);

/// Reads settings from TOML text. `file` is only named in errors, which have the form
/// "FILE:LINE: SECTION.KEY: what is wrong; allowed: RANGE" and a code from 6001 on.
std::optional<Settings> parseSettings(std::string_view text, std::string_view file, Reason &reason);

/// Reads settings from a file.
std::optional<Settings> loadSettings(const std::string &path, Reason &reason);

/// Splits "ADDRESS:PORT"; nothing if the port is missing or out of range.
std::optional<HostAddress> parseHostAddress(std::string_view text);

/// "ADDRESS:PORT".
std::string hostAddressText(const HostAddress &address);

} // namespace Lovageloft
