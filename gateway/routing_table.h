#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

/// The operators' configuration as the gateway uses it: routes, services, teams and limits.
namespace Lovageloft
{

/// How often a request of a route may be executed.
enum class RouteKind : std::uint8_t
{
    Idempotent, ///< May be executed any number of times.
    NonIdempotent, ///< Executed at most once per attempt of a caller.
    Stream, ///< The response is a stream of events. Executed at most once unless the route is resumable.
};

/// A service's share of a route's traffic, relative to the weights of the route's other services.
struct TrafficShare
{
    std::string service;
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host; ///< Value of the Host header field of its requests.
    std::string pathPrefix; ///< Starts and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    bool isResumable = false; ///< A stream may be continued on another target after the last event.
    bool isPublic = false; ///< Needs no key and is attributed to no team.
    Duration timeout{}; ///< Maximum time that a caller waits.
    Duration latencyTarget{}; ///< Promised time until the response begins; for streams, until the first event.
    Duration eventGap{}; ///< Maximum time between two events of a stream that is on time.
    int priority = 0; ///< 0 is the highest.
    int maxAttempts = 1; ///< Maximum number of targets on which an idempotent request may be run.
    std::vector<TrafficShare> split = {};

    bool isIdempotent() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }

    /// Time without a response after which an idempotent request is retried on another target. The response is late by then, and a retry that
    /// takes one more latency target still ends before callers give up.
    Duration stallTimeout() const;
};

/// Chooses one of the route's services in proportion to their weights. The same request id gives the same service
/// as long as the split is unchanged. Empty if the split is empty.
std::string chooseService(const Route &route, std::string_view requestId);

/// A store of computed prompt prefixes that engines share. It is not a registered target.
struct CacheStore
{
    std::string address; ///< "IP:PORT"
    std::string dataCentre;
    std::int64_t tokens = 0; ///< Capacity; 0 if unknown.
};

struct TargetService
{
    std::string name;
    bool hasEngines = false; ///< Its targets are engines: one that lists no models can't be used.
    std::int64_t cacheTokens = 0; ///< Capacity of one engine's memory in tokens. TargetDirectory uses a part of it as prompt cache.
};

/// Size limits and timeouts of caller connections.
struct CallerLimits
{
    std::size_t headBytes = 16'384; ///< Largest head of a request.
    std::uint64_t bodyBytes = 4'194'304; ///< Largest body of a request.
    Duration headTimeout = std::chrono::seconds(3); ///< For receiving a request head; for the body as much again, plus once per MiB.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between two requests on a connection.
};

struct Team
{
    std::string name;
    std::optional<int> priority = std::nullopt; ///< Overrides the route's priority.
    bool isIsolated = false; ///< Shares no cache entries with other teams.
    double rate = 0; ///< Tokens per second over all hosts; 0 for no limit.
    double burst = 0; ///< Tokens that may be consumed at once on top of the rate.
    double plainTokens = 1; ///< Tokens charged for a request that states no number of prompt tokens.
};

/// One version of the configuration. Immutable after construction.
class RoutingTable
{
public:
    std::int64_t version = 0;
    std::int64_t revision = 0; ///< Store revision of the write.
    std::vector<Route> routes;
    std::vector<TargetService> services;
    std::vector<CacheStore> cacheStores;
    CallerLimits limits;
    bool requiresKeys = true; ///< Requests on routes that are not public need the key of a team, also if there are no teams.
    std::vector<Team> teams;
    std::unordered_map<std::string, std::size_t> teamOfKey; ///< Index into `teams`.

    /// Builds the index that `findRoute` needs. Must be called after all routes have been added.
    void buildIndex();

    /// The route of the host name `host` with the longest prefix of `path`; the query string of `path` is ignored. Null if there is none. Valid
    /// as long as `routes` is unchanged.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// The team of an API key; null if there is none.
    const Team *findTeam(const std::string &key) const;

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesOfHost_; ///< Indexes into `routes` by host, longest prefix first.
};

} // namespace Lovageloft
