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

/// Digest of a service's or a software version's name; never 0.
std::uint32_t shortDigest(std::string_view name);

/// The service and the software version of a listed target. A target whose entry states no version has an empty one, which counts as a version
/// of its own.
struct ServiceVersion
{
    std::string_view service;
    std::string_view version;
};

/// The software versions that targets of each service have had lately. Not thread-safe; reads no clock.
class VersionHistory
{
public:
    /// Sets for how long a version counts after its last target has gone.
    void setRetention(Duration retention);

    Duration retention() const;

    /// Sets the service and version of all listed targets. The views need to be valid during the call only.
    void setTargets(std::span<const ServiceVersion> listed, TimePoint now);

    /// The host's list of targets holds all changes until `listedUntil`. To be called before each conclusion and several times a second: in a longer
    /// gap between two such times, a version may have come, served and gone unseen.
    void observe(TimePoint listedUntil);

    /// Until when the list of targets has all changes.
    TimePoint listedUntil() const;

    /// The end of the last gap in which versions may have come and gone unseen; nothing if there was none.
    const std::optional<TimePoint> &gapEndedAt() const;

    /// Sets the services that are recorded as having, or lately having had, several versions; as current as the list of targets.
    void setSkewed(std::set<std::string, std::less<>> services);

    /// Sets what was recorded before this host started: the services of which several versions were listed within the retention time, and the
    /// serving version of each service. A service counts as having had one version only if that is its recorded one: targets may also have been
    /// replaced while no host was up that could record it.
    void setEarlier(const std::set<std::string, std::less<>> &skewed, const std::map<std::string, std::string, std::less<>> &serving);

    /// Whether this host has known targets for less than the retention time.
    bool isYoung(TimePoint now) const;

    /// Whether targets of more than one version of the service were listed within the retention time, as far as this host knows.
    bool hadSeveral(std::string_view service, TimePoint now) const;

    /// The version of the service if it is certain that no other was listed within the retention time.
    std::optional<std::string> onlyVersion(std::string_view service, TimePoint now) const;

    /// The name of a version of the service that was listed within the retention time.
    std::optional<std::string> versionName(std::string_view service, std::uint32_t digest, TimePoint now) const;

    /// The name of a service by its digest; nothing if none of its targets was ever listed.
    std::optional<std::string> serviceName(std::uint32_t digest) const;

    /// Names of the services of which several versions were listed within the retention time, also before this host started, as far as known.
    std::vector<std::string> skewedServices(TimePoint now) const;

    /// A host whose list is older concludes nothing from it. Shorter than the time for which a version that is new gets no requests.
    static constexpr Duration maxListAge = std::chrono::milliseconds(900);

private:
    struct Service
    {
        std::map<std::string, TimePoint, std::less<>> lastListed; ///< By version; the end of time while one of its targets is listed.
        bool wasListedAtStart = false; ///< Some target was listed when this host first knew any.
    };

    bool isRecent(TimePoint lastListed, TimePoint now) const;
    bool isComplete(std::string_view service, TimePoint now) const;

    Duration retention_ = std::chrono::seconds(10);
    std::map<std::string, Service, std::less<>> services_;
    TimePoint listedUntil_; ///< All changes until then are known.
    std::optional<TimePoint> gapEndedAt_; ///< End of the last gap in which versions may have come and gone unseen.
    std::set<std::string, std::less<>> skewed_; ///< Services that are recorded as having several versions.
    std::optional<TimePoint> startedAt_; ///< When targets were first listed.
    std::optional<std::set<std::string, std::less<>>> skewedBefore_; ///< Services that had several versions before `startedAt_`; nothing if unknown.
    std::map<std::string, std::string, std::less<>> servingBefore_; ///< Recorded before `startedAt_`: the serving version by service.
};

} // namespace Lovageloft
