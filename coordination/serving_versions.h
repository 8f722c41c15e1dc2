#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace Lovageloft
{

/// An operator's order to move a service to the targets of another software version.
struct RolloutOrder
{
    std::string service;
    std::string version; ///< Never empty.
    Duration duration{}; ///< How long the move may take; positive.
};

/// A target as far as its software version matters.
struct VersionedTarget
{
    std::string_view id;
    std::string_view service;
    std::string_view version; ///< Empty if its entry states none.
    std::int64_t incarnation = 0; ///< Start time in Unix milliseconds; 0 if unknown.
    bool isLeaving = false; ///< It announced its shutdown.
};

/// Decides which software version of each service gets requests.
///
/// Without an order, all versions of a service serve side by side. A version that is new is withheld for `newVersionDelay`, as its targets may be the
/// first of a rollout whose order is not known yet and other hosts may not list them yet, and until it is recorded that the service has several versions. The
/// version that an operator ordered is withheld; only its rollout switches to it. After a rollout its version serves alone, and targets of another version only
/// replace targets of it that announce their shutdown. One version counts as the serving one, with which an ordered version is compared; it is recorded in the
/// store, so that hosts that start in the middle of a rollout know it. Not thread-safe; reads no clock.
class ServingVersions
{
public:
    /// Longer than an order takes from the store to this host.
    static constexpr Duration orderDelay = std::chrono::milliseconds(700);

    /// How long a version that is new to this host is withheld: longer than `orderDelay`, and than the list may be old from which another host
    /// concludes that a service has one version only, with what may be unknown of that age (`VersionHistory::maxListAge`).
    static constexpr Duration newVersionDelay = std::chrono::milliseconds(1'500);

    /// Sets the version that an operator ordered a service to move to; an empty one if the order can't be read, which withholds all versions
    /// but the serving one.
    void setOrder(std::string_view service, std::string_view version);

    /// The order was withdrawn.
    void removeOrder(std::string_view service);

    /// A rollout has switched a service to a version, whose targets then serve in place of the serving version; nothing to end the switch.
    void setSwitched(std::string_view service, std::optional<std::string> version);

    /// A rollout was completed: the version serves from now on.
    void setServing(std::string_view service, std::string_view version);

    /// Sets the recorded serving versions by service, replacing earlier ones.
    void setRecorded(std::map<std::string, std::string, std::less<>> versions);

    /// Sets all listed targets. The views need to be valid during the call only.
    void setTargets(std::span<const VersionedTarget> targets, TimePoint now);

    /// Withholds a further version of a service also until setSkewRecorded() has named the service. Hosts that start when all have lost what they
    /// knew then never take a version for the only one that has served.
    void requireSkewRecords();

    /// Sets the services that are recorded as having several versions.
    void setSkewRecorded(std::set<std::string, std::less<>> services);

    /// Ends the withholding of versions that are not new any more. `ordersKnownAt`: this host knew all orders that the store held then.
    void advance(TimePoint now, TimePoint ordersKnownAt);

    /// Ids of the targets that get no requests because of their version.
    const std::set<std::string, std::less<>> &withheld() const;

    /// The serving version of a service; nothing if none of its targets has been listed yet.
    std::optional<std::string> servingVersion(std::string_view service) const;

    /// Ids of the targets of a version that have not announced their shutdown.
    std::vector<std::string> targetsOf(std::string_view service, std::string_view version) const;

    /// Whether a version of a service is listed and new, so that other hosts may not know of it.
    bool isNew(std::string_view service, std::string_view version) const;

    /// Serving versions that differ from the recorded ones, by service. Empty before the first call of setRecorded().
    std::map<std::string, std::string> unrecorded() const;

private:
    struct KnownTarget
    {
        std::string version;
        std::int64_t incarnation = 0;
        bool isLeaving = false;
    };

    struct Service
    {
        std::map<std::string, KnownTarget, std::less<>> targets; ///< All listed ones by id.
        std::optional<std::string> serving;
        std::optional<std::string> switched; ///< Serves in place of `serving`.
        std::optional<std::string> ordered;
        std::map<std::string, TimePoint, std::less<>> newSince; ///< When versions were first listed; only of those that are withheld as new.
        std::set<std::string, std::less<>> established; ///< Listed versions that are not new.
        std::set<std::string, std::less<>> admitted; ///< Targets of other versions that replace a serving target, after a rollout.
        std::size_t replaceable = 0; ///< Serving targets that announced their shutdown and were not replaced yet.
    };

    std::optional<std::string> inferServing(const Service &service) const;
    static const std::optional<std::string> &effective(const Service &service);
    static bool isOrdered(const Service &service, std::string_view version);
    static bool hasVersion(const Service &service, std::string_view version);
    bool lacksSkewRecord(const std::string &name, const Service &service) const;
    static void admitReplacements(Service &service);
    void finishRelease(Service &service) const;
    static bool servesAlone(const Service &service);
    static bool mayServe(const Service &service, const std::string &id, const KnownTarget &target);
    void listVersions(Service &service, TimePoint now);
    void update();

    std::map<std::string, Service, std::less<>> services_;
    std::map<std::string, std::string, std::less<>> recorded_;
    bool hasReadRecords_ = false;
    bool needsSkewRecords_ = false;
    std::set<std::string, std::less<>> skewRecorded_; ///< Services.
    std::set<std::string, std::less<>> withheld_;
};

} // namespace Lovageloft
