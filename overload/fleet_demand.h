#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "overload/demand_digest.h"

namespace Lovageloft
{

/// The demand of the whole fleet, merged from the digests of hosts. A digest replaces the previous one of its host and is valid for 3 intervals. A
/// team that a digest does not name keeps the figures of an earlier one for 6 intervals if the digest is full, because digests name teams in turns. Sums are
/// updated with each digest in whole microseconds, so that they stay exact. Not thread-safe; reads no clock.
class FleetDemand
{
public:
    /// Whole microseconds by priority class.
    using ClassMicros = std::array<std::int64_t, priorityClassCount>;

    /// Demand for one service over all hosts.
    struct Totals
    {
        ClassMicros queuedMicros{};
        ClassMicros offeredMicros{}; ///< Per second, of all teams.
        std::map<std::uint64_t, ClassMicros> teams; ///< What was offered by teams that valid digests name.
    };

    /// `host` is this one.
    explicit FleetDemand(std::string host);

    /// Sets the number of hosts including this one, on which the time of validity depends.
    void setHosts(std::size_t hosts);

    /// Merges a digest of another host. Returns false for one that is ignored: older than one already merged, with negative or non-finite figures, or
    /// with too many teams.
    bool merge(std::string_view host, const DemandDigest &digest, TimePoint now);

    /// Replaces the demand of this host, which may name any number of teams.
    void mergeOwn(const DemandDigest &snapshot, TimePoint now);

    /// Drops what is no longer valid. To be called before reading.
    void dropExpired(TimePoint now);

    /// Demand for the service; nullptr if no valid digest states any.
    const Totals *totals(std::uint64_t service) const;

    /// Whether the demand of other hosts is known: a valid digest of one has been merged, or there is no other host.
    bool isFleetKnown() const;

private:
    struct NamedTeam
    {
        ClassMicros offeredMicros{};
        TimePoint namedAt;
        std::uint64_t sequence = 0; ///< Of the digest that named it last.
    };

    struct HostService
    {
        ClassMicros queuedMicros{};
        ClassMicros offeredMicros{};
        std::map<std::uint64_t, NamedTeam> teams;
    };

    struct Host
    {
        std::uint64_t sequence = 0;
        TimePoint mergedAt;
        std::map<std::uint64_t, HostService> services;
    };

    void replace(Host &host, const DemandDigest &digest, TimePoint now);
    void setTeam(Totals &totals, std::uint64_t team, ClassMicros &stored, const ClassMicros &offered);
    template <typename Predicate>
    void dropTeams(HostService &service, std::uint64_t id, Predicate isToBeDropped);
    void dropTeams(Host &host, TimePoint since);
    void dropSums(Host &host);

    std::string self_;
    std::size_t hostCount_ = 1;
    Duration validity_;
    Duration teamValidity_;
    std::map<std::string, Host, std::less<>> hosts_;
    std::map<std::uint64_t, Totals> totals_;
    TimePoint droppedAt_;
};

} // namespace Lovageloft
