#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/result_code.h"

/// The settings of a host, read from a TOML file. Every key is checked; docs/SETTINGS.md lists them all.
namespace Lovageloft
{

/// An IP address and a port.
struct HostAddress
{
    std::string host;
    std::uint16_t port = 0;
};

/// All settings with their defaults. Times are in milliseconds and sizes in bytes.
struct Settings
{
    std::string hostName; ///< Name of this host, unique in the deployment.
    std::string dataCentre = "dc1";

    std::string callerAddress = "127.0.0.1"; ///< Address that callers connect to.
    std::int64_t callerPort = 8080;
    std::int64_t callerThreads = 1200; ///< Maximum concurrent connections.
    std::int64_t bodyLimit = 8'388'608;
    std::int64_t callerMemory = 0; ///< For all connections and requests; 0: two fifths of what the machine allows.
    std::int64_t headerFieldLimit = 64;
    std::int64_t headerTimeout = 10'000; ///< From the first byte of a request to the end of its header and body.
    std::int64_t keepAliveTimeout = 60'000;

    std::string operatorAddress = "127.0.0.1";
    std::int64_t operatorPort = 8081;
    std::string operatorKeyDigest; ///< SHA-256 of the operators' key in hexadecimal; if empty, all operator calls are refused.

    std::string peerAddress = "127.0.0.1";
    std::int64_t peerPort = 8082;
    std::string peerSecret; ///< Shared by all hosts of the deployment.
    std::vector<std::string> peers; ///< "ADDRESS:PORT" of other hosts that are known at startup.

    std::string storeKind = "memory"; ///< "memory" or "etcd".
    std::vector<std::string> storeEndpoints; ///< "ADDRESS:PORT" of the store's HTTP/JSON gateway.
    std::string storePrefix = "lovageloft/";
    std::int64_t storeTimeout = 1'000;
    std::vector<std::string> seedTickets; ///< Ticket files that are applied at startup to a memory store.

    std::int64_t freshnessWindow = 3'000; ///< How long a confirmation that the configuration is current is valid.
    std::int64_t queueDeadline = 10'000; ///< Maximum time that a request may wait for an engine.
    std::int64_t engineTimeout = 15'000; ///< Maximum silence of an engine within a response.
    std::int64_t connectTimeout = 1'000;
    std::int64_t drainNotice = 5'000; ///< How long new requests are still served after /ready began to fail.
    std::int64_t drainLimit = 600'000; ///< Maximum wait for running requests at a graceful shutdown.
    std::int64_t ringCapacity = 4'096; ///< Capacity of the queues between duties, in requests.

    std::string logLevel = "info";
};

/// Description of a setting: its place in the file, the member of Settings, its range or choices, and its documentation.
struct SettingSpec
{
    using Target = std::variant<std::int64_t Settings::*, std::string Settings::*, std::vector<std::string> Settings::*>;

    std::string_view section;
    std::string_view key;
    Target member;
    std::int64_t minimum = 0; ///< Of a number, or of the length of a text or list.
    std::int64_t maximum = 0; ///< Of a number, or of the length of a text or list.
    std::string_view unit;
    std::string_view meaning;
    std::string_view choices = {}; ///< Allowed values of a text, separated by "|"; empty if any is allowed.
};

/// All settings, in the order of docs/SETTINGS.md.
std::span<const SettingSpec> settingSpecs();

/// The allowed range or choices of a setting as a text for error messages and the documentation.
std::string settingRange(const SettingSpec &spec);

/// Parses settings in TOML. On failure returns nothing and sets `reason` to a code from 6001 on and a text of the form
/// "FILE:LINE: SECTION.KEY: what is wrong; allowed: RANGE", in which `file` is FILE.
std::optional<Settings> parseSettings(std::string_view text, std::string_view file, Reason &reason);

/// Reads and parses a settings file; also fails, with ResultCode::SettingsUnreadable, if it can't be opened.
std::optional<Settings> loadSettings(const std::string &path, Reason &reason);

/// Parses "ADDRESS:PORT"; returns nothing if the address is empty or the port is missing or not from 1 to 65535.
std::optional<HostAddress> parseHostAddress(std::string_view text);

/// The address as "ADDRESS:PORT".
std::string hostAddressText(const HostAddress &address);

} // namespace Lovageloft
