#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// A host that may relay connections to targets.
struct RelayHost
{
    std::string name;
    std::string dataCentre;
};

/// Chooses the host that relays a connection to a target which this host can't reach directly. Hosts that have relayed lately come first, so
/// that a host which has found a few of them does not ask those that are cut off as well; then come hosts of the same data centre, unless one
/// of them has just failed. Among equals the choice is random, so that the hosts which are left share the load. A host that is cut off itself
/// suggests one that relays, so that in a large fleet the few hosts which are left are found soon. Not thread-safe; performs no I/O and reads
/// no clock.
class RelaySelector
{
public:
    /// Sets the other hosts, and the data centre of this one. Hosts that are still listed keep their state.
    void setHosts(std::span<const RelayHost> hosts, std::string_view dataCentre);

    /// Chooses a host that is not in `excluded`; nothing if all are excluded or have failed lately.
    std::optional<std::string> choose(std::span<const std::string> excluded, TimePoint now, Random &random) const;

    /// The host has relayed a connection to a target.
    void onRelayed(std::string_view host, TimePoint now);

    /// A host that does not relay itself suggests this one. Ignored if this host knows one already, as the suggested ones would get too much.
    void onSuggested(std::string_view host, TimePoint now);

    /// A host that has relayed lately, to be suggested to others; empty if there is none.
    std::string suggestion(TimePoint now, Random &random) const;

    /// The host could not be reached or refused to relay; it is not chosen for a second, or longer if it fails again.
    void onFailed(std::string_view host, TimePoint now);

    /// Number of hosts, whether they can be chosen now or not.
    std::size_t size() const;

private:
    struct Record
    {
        std::string dataCentre;
        TimePoint avoidUntil;
        TimePoint preferUntil;
        unsigned failures = 0; ///< In a row.
    };

    std::vector<std::string_view> preferredHosts(TimePoint now) const;

    std::map<std::string, Record, std::less<>> hosts_; ///< By name.
    std::string dataCentre_;
};

} // namespace Lovageloft
