#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/result_code.h"

/// The operators' configuration: teams, targets, models and the list of hosts, and the numbered tickets that change it.
/// A ticket carries the whole new state of each object it touches.
namespace Lovageloft
{

/// A caller's key as it is kept: never the key itself, only a salted digest.
struct KeyDigest
{
    std::string id; ///< Names the key in logs and tickets.
    std::string salt; ///< Hexadecimal, at least 16 digits.
    std::string digest; ///< sha256Hex(salt + key).

    bool operator==(const KeyDigest &) const = default;
};

/// A team: who may call, and how much all hosts together may spend for it.
struct TeamConfiguration
{
    std::string name;
    double rate = 0; ///< Tokens a second over the whole fleet.
    double burst = 0; ///< Tokens that may be spent at once on top of the rate.
    std::vector<KeyDigest> keys;

    bool operator==(const TeamConfiguration &) const = default;
};

enum class TargetKind : std::uint8_t
{
    Engine, ///< Runs models and caches prompt prefixes.
    Service, ///< A plain HTTP service behind /NAME/.
};

enum class TargetState : std::uint8_t
{
    Serving,
    Leaving, ///< Gets no new work; what runs is completed.
};

/// A method and path prefix of a service whose calls may not be repeated.
struct NonIdempotentRoute
{
    std::string method;
    std::string pathPrefix; ///< Below the service's name, beginning with "/".

    bool operator==(const NonIdempotentRoute &) const = default;
};

/// An engine or a plain service.
struct TargetConfiguration
{
    std::string name;
    TargetKind kind = TargetKind::Engine;
    std::string service; ///< For services: the name in the callers' path. Several targets may serve one service.
    std::string address; ///< "ADDRESS:PORT".
    std::string dataCentre;
    std::string model; ///< For engines: the model it runs.
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing token.
    TargetState state = TargetState::Serving;
    std::vector<NonIdempotentRoute> nonIdempotent;
    double prefillRate = 10'000; ///< For engines: prompt tokens computed a second.
    std::int64_t batchLimit = 64; ///< For engines: requests it generates for at once.

    bool operator==(const TargetConfiguration &) const = default;
};

/// A model and the version of its weights that engines are to run.
struct ModelConfiguration
{
    std::string name;
    std::string weightsVersion;

    bool operator==(const ModelConfiguration &) const = default;
};

/// One host of the system.
struct HostEntry
{
    std::string name;
    std::string peerAddress; ///< "ADDRESS:PORT".
    std::string dataCentre;

    bool operator==(const HostEntry &) const = default;
};

/// The list of hosts; one object of its own named "hosts".
struct HostsConfiguration
{
    std::vector<HostEntry> hosts;

    bool operator==(const HostsConfiguration &) const = default;
};

/// Takes an object out of service. Its ticket number is remembered all the same.
struct RemovedObject
{
    std::string kind; ///< "team", "target" or "model".
    std::string name;

    bool operator==(const RemovedObject &) const = default;
};

using ConfigurationObject = std::variant<TeamConfiguration, TargetConfiguration, ModelConfiguration, HostsConfiguration, RemovedObject>;

/// "KIND/NAME" of an object, by which its last ticket number is remembered.
std::string objectId(const ConfigurationObject &object);

/// A numbered change by an operator.
struct Ticket
{
    std::int64_t number = 0; ///< From 1 on.
    std::string operatorName;
    std::vector<ConfigurationObject> objects;

    bool operator==(const Ticket &) const = default;
};

/// Reads a ticket from JSON, checking every field: unknown fields, wrong types and ranges are TicketInvalid.
std::optional<Ticket> parseTicket(std::string_view json, Reason &reason);

/// The ticket as JSON with fields in a fixed order, so that equal tickets have equal text and digest.
std::string formatTicket(const Ticket &ticket);

/// All objects in force at one point of the log. `apply` is a pure function of state and ticket, so that
/// every host that replays the same log comes to the same state.
class ConfigurationState
{
public:
    /// Applies a ticket whole or not at all. TicketStale if its number is not above that of every object it
    /// touches, TicketAlreadyAccepted if this very ticket was the last on all of them, TicketConflict if its
    /// number stands on one of them with other content, TicketInvalid if it changes a list of hosts by more than one.
    bool apply(const Ticket &ticket, Reason &reason);

    const std::map<std::string, TeamConfiguration, std::less<>> &teams() const;
    const std::map<std::string, TargetConfiguration, std::less<>> &targets() const;
    const std::map<std::string, ModelConfiguration, std::less<>> &models() const;
    const std::vector<HostEntry> &hosts() const;

    /// The number of the last ticket that touched an object, 0 if none did.
    std::int64_t lastTicket(std::string_view objectId) const;

    /// sha256Hex of an object's JSON text, empty if there is no such object. For the audit trail.
    std::string objectDigest(std::string_view objectId) const;

    /// The whole state as JSON, for the snapshot key; parseConfigurationState reads it back.
    std::string toJson() const;

private:
    friend std::optional<ConfigurationState> parseConfigurationState(std::string_view json, Reason &reason);

    struct LastTicket
    {
        std::int64_t number = 0;
        std::string digest; ///< sha256Hex of formatTicket.
    };

    void put(const TeamConfiguration &team);
    void put(const TargetConfiguration &target);
    void put(const ModelConfiguration &model);
    void put(const HostsConfiguration &hosts);
    void put(const RemovedObject &removed);

    std::map<std::string, TeamConfiguration, std::less<>> teams_;
    std::map<std::string, TargetConfiguration, std::less<>> targets_;
    std::map<std::string, ModelConfiguration, std::less<>> models_;
    std::vector<HostEntry> hosts_;
    std::map<std::string, LastTicket, std::less<>> lastTickets_;
};

std::optional<ConfigurationState> parseConfigurationState(std::string_view json, Reason &reason);

/// Whether `key` is the key of this digest; takes the same time whatever the key.
bool matchesKey(const KeyDigest &digest, std::string_view key);

/// The digest of a new key under a fresh salt.
KeyDigest makeKeyDigest(std::string_view id, std::string_view key);

} // namespace Lovageloft
