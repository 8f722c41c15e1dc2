#include "coordination/serving_versions.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace Lovageloft
{

void ServingVersions::setOrder(std::string_view service, std::string_view version)
{
    services_[std::string(service)].ordered = std::string(version);
    update();
}

void ServingVersions::removeOrder(std::string_view service)
{
    services_[std::string(service)].ordered.reset();
    update();
}

void ServingVersions::setSwitched(std::string_view service, std::optional<std::string> version)
{
    services_[std::string(service)].switched = std::move(version);
    update();
}

void ServingVersions::setServing(std::string_view service, std::string_view version)
{
    Service &known = services_[std::string(service)];
    known.serving = std::string(version);
    known.admitted.clear();
    known.replaceable = 0;
    update();
}

void ServingVersions::setRecorded(std::map<std::string, std::string, std::less<>> versions)
{
    recorded_ = std::move(versions);
    hasReadRecords_ = true;
    for (const auto &[name, version] : recorded_) {
        services_[name].serving = version;
    }
    update();
}

void ServingVersions::setTargets(std::span<const VersionedTarget> targets, TimePoint now)
{
    std::map<std::string, std::map<std::string, KnownTarget, std::less<>>, std::less<>> listed;
    for (const VersionedTarget &target : targets) {
        listed[std::string(target.service)].emplace(target.id, KnownTarget{std::string(target.version), target.incarnation, target.isLeaving});
    }
    for (auto &[name, known] : listed) {
        services_.try_emplace(name);
    }
    for (auto &[name, service] : services_) {
        auto &known = listed[name];
        for (const auto &[id, target] : known) {
            const auto before = service.targets.find(id);
            const bool wasLeaving = before != service.targets.end() && before->second.isLeaving;
            // A target that was first listed as leaving may have been replaced before this host started.
            const bool announcesShutdown = target.isLeaving && !wasLeaving && before != service.targets.end();
            service.replaceable += announcesShutdown && servesAlone(service) && service.serving == target.version ? 1 : 0;
        }
        service.targets = std::move(known);
        listVersions(service, now);
    }
    update();
}

/// A version whose last target has gone is new when it comes back.
void ServingVersions::listVersions(Service &service, TimePoint now)
{
    std::set<std::string, std::less<>> listed;
    for (const auto &[id, target] : service.targets) {
        listed.insert(target.version);
    }
    const auto isGone = [&listed](const std::string &version) { return !listed.contains(version); };
    std::erase_if(service.newSince, [&isGone](const auto &entry) { return isGone(entry.first); });
    std::erase_if(service.established, isGone);
    for (const std::string &version : listed) {
        if (!service.established.contains(version)) {
            service.newSince.try_emplace(version, now);
        }
    }
}

void ServingVersions::requireSkewRecords()
{
    needsSkewRecords_ = true;
}

void ServingVersions::setSkewRecorded(std::set<std::string, std::less<>> services)
{
    skewRecorded_ = std::move(services);
}

/// Whether the service has several versions that no host could know of that starts when all others have ended.
bool ServingVersions::lacksSkewRecord(const std::string &name, const Service &service) const
{
    return needsSkewRecords_ && service.newSince.size() + service.established.size() > 1 && !skewRecorded_.contains(name);
}

void ServingVersions::advance(TimePoint now, TimePoint ordersKnownAt)
{
    bool hasChanged = false;
    for (auto &[name, service] : services_) {
        if (lacksSkewRecord(name, service)) {
            continue;
        }
        hasChanged = std::erase_if(service.newSince,
                                   [&established = service.established, now, ordersKnownAt](const auto &entry) {
                                       const auto &[version, since] = entry;
                                       if (now - since < newVersionDelay || ordersKnownAt < since + orderDelay / 2) {
                                           return false;
                                       }
                                       established.insert(version);
                                       return true;
                                   })
                > 0
            || hasChanged;
    }
    if (hasChanged) {
        update();
    }
}

const std::set<std::string, std::less<>> &ServingVersions::withheld() const
{
    return withheld_;
}

std::optional<std::string> ServingVersions::servingVersion(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? std::nullopt : found->second.serving;
}

std::vector<std::string> ServingVersions::targetsOf(std::string_view name, std::string_view version) const
{
    std::vector<std::string> ids;
    const auto service = services_.find(name);
    if (service == services_.end()) {
        return ids;
    }
    for (const auto &[id, target] : service->second.targets) {
        if (target.version == version && !target.isLeaving) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool ServingVersions::isNew(std::string_view name, std::string_view version) const
{
    const auto service = services_.find(name);
    return service != services_.end() && service->second.newSince.contains(version);
}

std::map<std::string, std::string> ServingVersions::unrecorded() const
{
    std::map<std::string, std::string> versions;
    if (!hasReadRecords_) {
        return versions;
    }
    for (const auto &[name, service] : services_) {
        const auto recorded = recorded_.find(name);
        if (service.serving && (recorded == recorded_.end() || recorded->second != *service.serving)) {
            versions.emplace(name, *service.serving);
        }
    }
    return versions;
}

/// The version of most targets, of those that are not new if there are any; of two with as many, the one whose first target started earlier. An ordered version
/// is taken only if there is no other and, as the records tell, there was none when the order came.
std::optional<std::string> ServingVersions::inferServing(const Service &service) const
{
    struct Count
    {
        std::int64_t targets = 0;
        std::int64_t firstStart = std::numeric_limits<std::int64_t>::max();
    };

    std::map<std::string_view, Count> counts;
    for (const auto &[id, target] : service.targets) {
        if (!service.established.empty() && !service.established.contains(target.version)) {
            continue;
        }
        Count &count = counts[target.version];
        count.targets += target.isLeaving ? 0 : 1;
        count.firstStart = std::min(count.firstStart, target.incarnation);
    }
    const bool hasOther = std::any_of(counts.begin(), counts.end(), [&service](const auto &entry) { return !isOrdered(service, entry.first); });
    if (hasOther || !hasReadRecords_) {
        std::erase_if(counts, [&service](const auto &entry) { return isOrdered(service, entry.first); });
    }
    const auto best = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) {
        return std::tuple(left.second.targets, -left.second.firstStart) < std::tuple(right.second.targets, -right.second.firstStart);
    });
    return best == counts.end() ? std::nullopt : std::optional(std::string(best->first));
}

/// The version whose targets get requests.
const std::optional<std::string> &ServingVersions::effective(const Service &service)
{
    return service.switched ? service.switched : service.serving;
}

/// Whether an order names the version. An order that can't be read may name any.
bool ServingVersions::isOrdered(const Service &service, std::string_view version)
{
    return service.ordered && (service.ordered->empty() || *service.ordered == version);
}

bool ServingVersions::hasVersion(const Service &service, std::string_view version)
{
    return std::any_of(service.targets.begin(), service.targets.end(), [version](const auto &entry) { return entry.second.version == version; });
}

void ServingVersions::admitReplacements(Service &service)
{
    const std::size_t before = service.admitted.size();
    std::erase_if(service.admitted, [&service](const std::string &id) {
        const auto target = service.targets.find(id);
        return target == service.targets.end() || target->second.version == service.serving || isOrdered(service, target->second.version);
    });
    service.replaceable += before - service.admitted.size();
    for (const auto &[id, target] : service.targets) {
        if (service.replaceable == 0) {
            break;
        }
        if (target.version == service.serving || target.isLeaving || isOrdered(service, target.version) || service.admitted.contains(id)) {
            continue;
        }
        service.admitted.insert(id);
        --service.replaceable;
    }
}

/// Whether a rollout was completed whose order still stands, or an order can't be read.
bool ServingVersions::servesAlone(const Service &service)
{
    return service.ordered && (service.ordered->empty() || service.ordered == service.serving);
}

/// Once the last target of the serving version has gone, the version of its replacements serves, or without an order that of most targets.
void ServingVersions::finishRelease(Service &service) const
{
    if (hasVersion(service, *service.serving)) {
        return;
    }
    if (!service.admitted.empty()) {
        service.serving = service.targets.find(*service.admitted.begin())->second.version;
        service.admitted.clear();
        service.replaceable = 0;
    } else if (!service.ordered && !service.established.empty()) {
        service.serving = inferServing(service);
    }
}

/// Whether a target gets requests while some target of the serving version is listed.
bool ServingVersions::mayServe(const Service &service, const std::string &id, const KnownTarget &target)
{
    if (target.version == effective(service)) {
        return true;
    }
    if (service.switched || isOrdered(service, target.version)) {
        return false;
    }
    return servesAlone(service) ? service.admitted.contains(id) : service.established.contains(target.version);
}

void ServingVersions::update()
{
    withheld_.clear();
    for (auto &[name, service] : services_) {
        if (!service.serving) {
            service.serving = inferServing(service);
        }
        if (service.serving && !service.switched) {
            if (servesAlone(service)) {
                admitReplacements(service);
            }
            finishRelease(service);
        }
        // Without any target of the serving version, another one is better than none, unless it is under an order.
        const std::optional<std::string> &serving = effective(service);
        const bool needsFallback = !serving || !hasVersion(service, *serving);
        for (const auto &[id, target] : service.targets) {
            const bool isFallback = needsFallback && !isOrdered(service, target.version);
            if (!isFallback && !mayServe(service, id, target)) {
                withheld_.insert(id);
            }
        }
    }
}

} // namespace Lovageloft
