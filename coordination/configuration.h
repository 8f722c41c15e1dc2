#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/result_code.h"

/// The operators' configuration: teams, targets, models and the list of hosts, and the numbered tickets that change it. A ticket carries
/// the complete new state of each object that it changes.
namespace Lovageloft
{

/// A caller's key as stored: only a salted digest, never the key itself.
struct KeyDigest
{
    std::string id; ///< Names the key in logs and tickets. If it begins with "lk-", it must be the KeyTable::publicId() of the key.
    std::string salt; ///< At least 16 hexadecimal digits; only the length is checked.
    std::string digest; ///< sha256Hex(salt + key), of the salt's text; 64 digits.

    bool operator==(const KeyDigest &) const = default;
};

/// A team: who may call, and how many tokens it may spend over all hosts together.
struct TeamConfiguration
{
    std::string name;
    double rate = 0; ///< Tokens per second over all hosts together, 0 to 1e12.
    double burst = 0; ///< Tokens that may be spent at once in addition to the rate, 0 to 1e12.
    std::vector<KeyDigest> keys;

    bool operator==(const TeamConfiguration &) const = default;
};

enum class TargetKind : std::uint8_t
{
    Engine, ///< Runs a model and caches prompt prefixes.
    Service, ///< A plain HTTP service, called under /SERVICE/ with the name in TargetConfiguration::service.
};

enum class TargetState : std::uint8_t
{
    Serving,
    Leaving, ///< Gets no new work; running requests are completed.
};

/// A method and path prefix of a service whose calls must not be repeated.
struct NonIdempotentRoute
{
    std::string method;
    std::string pathPrefix; ///< The start of the path after /SERVICE, beginning with "/".

    bool operator==(const NonIdempotentRoute &) const = default;
};

/// A target: an engine or a service.
struct TargetConfiguration
{
    std::string name;
    TargetKind kind = TargetKind::Engine;
    std::string service; ///< For services: the name in the callers' path. Several targets may provide one service.
    std::string address; ///< "ADDRESS:PORT".
    std::string dataCentre;
    std::string model; ///< For engines: the model it runs.
    bool checksFencing = false; ///< Whether the target rejects an order (see order_scheduler.h) with an old fencing token.
    TargetState state = TargetState::Serving;
    std::vector<NonIdempotentRoute> nonIdempotent;
    double prefillRate = 10'000; ///< For engines: prompt tokens computed per second, 1 to 1e12.
    std::int64_t batchLimit = 64; ///< For engines: the maximum number of requests for which it generates tokens at the same time, 1 to 1e6.

    bool operator==(const TargetConfiguration &) const = default;
};

/// A model and the version of its weights that engines must run.
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

/// The list of hosts, a single object with the id "hosts".
struct HostsConfiguration
{
    std::vector<HostEntry> hosts;

    bool operator==(const HostsConfiguration &) const = default;
};

/// Removes an object. The number of the removing ticket is kept, so that an older ticket can't restore the object.
struct RemovedObject
{
    std::string kind; ///< "team", "target" or "model".
    std::string name;

    bool operator==(const RemovedObject &) const = default;
};

using ConfigurationObject = std::variant<TeamConfiguration, TargetConfiguration, ModelConfiguration, HostsConfiguration, RemovedObject>;

/// The id "KIND/NAME" of an object, under which its last ticket number is stored; "hosts" for the list of hosts. A RemovedObject has the id of
/// the object that it removes.
std::string objectId(const ConfigurationObject &object);

/// A numbered change by an operator.
struct Ticket
{
    std::int64_t number = 0; ///< At least 1, and higher than the last ticket of each object it changes; others may have the same number.
    std::string operatorName;
    std::vector<ConfigurationObject> objects;

    bool operator==(const Ticket &) const = default;
};

/// Reads a ticket from JSON and checks every field. Unknown fields, wrong types, values out of range, and a ticket that names no object or one
/// object twice are reported as TicketInvalid. Names have at most 128 letters, digits, '-', '_', '.' or ':'.
std::optional<Ticket> parseTicket(std::string_view json, Reason &reason);

/// Returns the ticket as JSON with its fields in a fixed order, so that equal tickets have equal text and digest.
std::string formatTicket(const Ticket &ticket);

/// All objects at one point of the log. The result of apply() depends only on the state and the ticket, so that every host that replays the
/// same log reaches the same state.
class ConfigurationState
{
public:
    /// Applies a ticket completely or not at all, and returns whether it did. The reason is TicketStale if the number is below that of the
    /// last ticket of an object it changes, TicketAlreadyAccepted if this very ticket was the last one for all of its objects, TicketConflict
    /// if a ticket of the same number but different content was the last one for an object, and TicketInvalid if the new list of hosts names
    /// a host twice or, unless the old list is empty, is empty itself or adds and removes more than one name in total.
    bool apply(const Ticket &ticket, Reason &reason);

    const std::map<std::string, TeamConfiguration, std::less<>> &teams() const;
    const std::map<std::string, TargetConfiguration, std::less<>> &targets() const;
    const std::map<std::string, ModelConfiguration, std::less<>> &models() const;
    const std::vector<HostEntry> &hosts() const;

    /// The number of the last ticket that changed an object, 0 if there is none.
    std::int64_t lastTicket(std::string_view objectId) const;

    /// sha256Hex of an object's JSON text, empty if there is no such object. Used for the audit trail. Any id other than those of a team, target
    /// or model stands for the list of hosts.
    std::string objectDigest(std::string_view objectId) const;

    /// The complete state as JSON, for the snapshot in the store; parseConfigurationState() reads it.
    std::string toJson() const;

private:
    friend std::optional<ConfigurationState> parseConfigurationState(std::string_view json, Reason &reason);

    struct LastTicket
    {
        std::int64_t number = 0;
        std::string digest; ///< sha256Hex of the text returned by formatTicket().
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

/// Reads the text returned by ConfigurationState::toJson(). If it can't be read, the reason is TicketInvalid, as for a ticket.
std::optional<ConfigurationState> parseConfigurationState(std::string_view json, Reason &reason);

/// Whether `key` matches the digest. Compares in constant time.
bool matchesKey(const KeyDigest &digest, std::string_view key);

/// Returns the digest of a new key under a random salt.
KeyDigest makeKeyDigest(std::string_view id, std::string_view key);

} // namespace Lovageloft
