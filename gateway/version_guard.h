#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/serving_versions.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Keeps requests from targets whose software version must not serve. On the leader, has the serving versions recorded in the store. For
/// use on the event loop only.
class VersionGuard
{
public:
    /// Ids of the targets that get no requests because of their version.
    using WithheldListener = std::function<void(const std::set<std::string, std::less<>> &withheld)>;

    /// Records the serving versions, by service.
    using Recorder = std::function<void(const std::map<std::string, std::string> &versions)>;

    /// `listener` is called whenever the withheld targets change.
    explicit VersionGuard(WithheldListener listener);

    /// Must be called before the event loop runs.
    void setRecorder(Recorder recorder);

    /// Whether this host is the leader.
    void setLeading(bool isLeading);

    void setTargets(const TargetMap &targets);

    /// To be called several times a second. `ordersKnownAt`: this host knew all orders that the store held then.
    void tick(TimePoint now, TimePoint ordersKnownAt);

    /// Sets the version that an operator ordered a service to move to; an empty one if the order can't be read.
    void setOrder(const std::string &service, const std::string &version);

    /// The order was withdrawn.
    void removeOrder(const std::string &service);

    /// A rollout has switched a service to a version, or its switch has ended; see ServingVersions.
    void setSwitched(const std::string &service, const std::optional<std::string> &version);

    /// A rollout was completed: the version serves from now on.
    void setServing(const std::string &service, const std::string &version);

    /// The version of a service that serves, or served before a rollout switched it.
    std::optional<std::string> servingVersion(std::string_view service) const;

    /// Ids of the targets of a version that have not announced their shutdown.
    std::vector<std::string> targetsOf(std::string_view service, std::string_view version) const;

    /// See ServingVersions::isNew.
    bool isNew(std::string_view service, std::string_view version) const;

    /// See ServingVersions::requireSkewRecords. Must be called before the event loop runs.
    void requireSkewRecords();

    /// Sets the services of which the store holds that they have several versions.
    void setSkewRecorded(const std::set<std::string, std::less<>> &services);

    /// Sets the serving versions that the store holds, by service.
    void setRecorded(const std::map<std::string, std::string, std::less<>> &versions);

private:
    void update();

    WithheldListener listener_;
    Recorder recorder_ = [](const std::map<std::string, std::string> &) {};
    ServingVersions versions_;
    std::set<std::string, std::less<>> withheld_; ///< As last passed to the listener.
    bool isLeading_ = false;
};

} // namespace Lovageloft
