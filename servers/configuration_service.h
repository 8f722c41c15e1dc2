#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string_view>

#include "coordination/configuration.h"

namespace Lovageloft
{

/// The key that a caller showed, resolved.
struct TeamKey
{
    std::string team;
    std::string keyId;
};

/// The configuration in force on this host. Readers get an immutable state that stays whole while they use it.
class ConfigurationService
{
public:
    std::shared_ptr<const ConfigurationState> state() const;

    /// The team that a key belongs to now.
    std::optional<TeamKey> findKey(std::string_view key) const;

    /// Whether the team still has the key.
    bool hasKey(const TeamKey &key) const;

    /// Applies a ticket on this host.
    bool apply(const Ticket &ticket, Reason &reason);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ConfigurationState> state_ = std::make_shared<ConfigurationState>();
};

} // namespace Lovageloft
