#include "servers/configuration_service.h"

#include <algorithm>

namespace Lovageloft
{

std::shared_ptr<const ConfigurationState> ConfigurationService::state() const
{
    const std::lock_guard lock(mutex_);
    return state_;
}

std::optional<TeamKey> ConfigurationService::findKey(std::string_view key) const
{
    const auto current = state();
    for (const auto &[name, team] : current->teams()) {
        for (const KeyDigest &digest : team.keys) {
            if (matchesKey(digest, key)) {
                return TeamKey{name, digest.id};
            }
        }
    }
    return std::nullopt;
}

bool ConfigurationService::hasKey(const TeamKey &key) const
{
    const auto current = state();
    const auto team = current->teams().find(key.team);
    if (team == current->teams().end()) {
        return false;
    }
    const auto &keys = team->second.keys;
    return std::any_of(keys.begin(), keys.end(), [&key](const KeyDigest &digest) { return digest.id == key.keyId; });
}

bool ConfigurationService::apply(const Ticket &ticket, Reason &reason)
{
    const std::lock_guard lock(mutex_);
    auto next = std::make_shared<ConfigurationState>(*state_);
    if (!next->apply(ticket, reason)) {
        return false;
    }
    state_ = std::move(next);
    return true;
}

} // namespace Lovageloft
