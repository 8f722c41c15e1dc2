#include "gateway/routing_table.h"

#include <algorithm>

#include <xxhash.h>

namespace Lovageloft
{

Duration Route::stallTimeout() const
{
    constexpr double latencyTargets = 1.5;
    constexpr Duration minStallTimeout = std::chrono::milliseconds(400);
    return std::max(minStallTimeout, std::chrono::duration_cast<Duration>(latencyTarget * latencyTargets));
}

std::string chooseService(const Route &route, std::string_view requestId)
{
    double total = 0;
    for (const TrafficShare &share : route.split) {
        total += share.weight;
    }
    constexpr std::uint64_t steps = 1'000'000;
    double point = total * static_cast<double>(XXH3_64bits(requestId.data(), requestId.size()) % steps) / steps;
    for (const TrafficShare &share : route.split) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return route.split.empty() ? std::string() : route.split.back().service;
}

void RoutingTable::buildIndex()
{
    routesOfHost_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        routesOfHost_[routes[i].host].push_back(i);
    }
    for (auto &[host, indexes] : routesOfHost_) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t left, std::size_t right) {
            return routes[left].pathPrefix.size() > routes[right].pathPrefix.size();
        });
    }
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    const auto found = routesOfHost_.find(host);
    if (found == routesOfHost_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (pathOnly.starts_with(routes[index].pathPrefix)) {
            return &routes[index];
        }
    }
    return nullptr;
}

const Team *RoutingTable::findTeam(const std::string &key) const
{
    const auto found = teamOfKey.find(key);
    return found == teamOfKey.end() ? nullptr : &teams[found->second];
}

} // namespace Lovageloft
