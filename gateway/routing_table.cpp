#include "gateway/routing_table.h"

#include <algorithm>

namespace Lovageloft
{

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
