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

/// The operators' configuration as the gateway uses it: which request goes to which service, for which team, within which limits.
namespace Lovageloft
{

/// What may be repeated.
enum class RouteKind : std::uint8_t
{
    Idempotent, ///< May run any number of times.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
    Stream, ///< An answer in events. Runs at most once unless the route is resumable.
};

/// A service's part of a route's traffic.
struct TrafficShare
{
    std::string service;
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    bool isResumable = false; ///< A stream may go on at another target after the last event.
    bool isPublic = false; ///< Needs no key and counts for no team.
    Duration timeout{}; ///< Longest time that a caller is kept waiting.
    Duration latencyTarget{}; ///< Time to the answer, for streams to the first event, that callers are promised.
    Duration eventGap{}; ///< Longest pause between two events that still counts as on time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Most targets that one request may run on.
    std::vector<TrafficShare> split = {};

    bool isIdempotent() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

/// One of the route's services by their weights; the same for the same request.
std::string chooseService(const Route &route, std::string_view requestId);

/// A store that keeps what engines have computed of prompts. It is on no list of targets.
struct CacheStore
{
    std::string address; ///< "IP:PORT"
    std::string dataCentre;
};

struct TargetService
{
    std::string name;
    std::int64_t cacheTokens = 0; ///< Tokens that one engine's memory holds.
};

/// What callers may send and how long they may take.
struct CallerLimits
{
    std::size_t headBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct Team
{
    std::string name;
    std::optional<int> priority = std::nullopt; ///< Goes before the route's.
    bool isIsolated = false; ///< Shares no cache entry with another team.
    double rate = 0; ///< Tokens a second over all hosts; 0: no limit.
    double burst = 0; ///< Tokens on top of the rate.
    double plainTokens = 1; ///< Tokens that a request without token counts is taken for.
};

/// One version of the configuration, immutable once built.
class RoutingTable
{
public:
    std::int64_t version = 0;
    std::int64_t revision = 0; ///< The store's, of the write that brought it.
    std::vector<Route> routes;
    std::vector<TargetService> services;
    std::vector<CacheStore> cacheStores;
    CallerLimits limits;
    std::vector<Team> teams;
    std::unordered_map<std::string, std::size_t> teamOfKey; ///< Index into `teams`.

    /// Sorts the routes for `findRoute`. To be called once all are there.
    void buildIndex();

    /// The route of `host` with the longest prefix that begins `path`; null if there is none.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// The team that holds a key; null if none does.
    const Team *findTeam(const std::string &key) const;

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesOfHost_; ///< Longest prefix first.
};

} // namespace Lovageloft
