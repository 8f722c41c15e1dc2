#include "gateway/version_guard.h"

#include <utility>
#include <vector>

#include "core/log.h"

namespace Lovageloft
{

VersionGuard::VersionGuard(WithheldListener listener)
    : listener_(std::move(listener))
{
}

void VersionGuard::setRecorder(Recorder recorder)
{
    recorder_ = std::move(recorder);
}

void VersionGuard::setLeading(bool isLeading)
{
    isLeading_ = isLeading;
    update();
}

void VersionGuard::setTargets(const TargetMap &targets)
{
    std::vector<VersionedTarget> versioned;
    for (const auto &[id, target] : targets) {
        versioned.push_back({id, target.service, target.softwareVersion, target.incarnation, target.isLeaving});
    }
    versions_.setTargets(versioned, BootClock::now());
    update();
}

void VersionGuard::tick(TimePoint now, TimePoint ordersKnownAt)
{
    versions_.advance(now, ordersKnownAt);
    update();
}

void VersionGuard::setOrder(const std::string &service, const std::string &version)
{
    writeLog(LogLevel::Info, "rollout_ordered", {{"service", service}, {"version", version}, {"serving", versions_.servingVersion(service).value_or("")}});
    versions_.setOrder(service, version);
    update();
}

void VersionGuard::removeOrder(const std::string &service)
{
    writeLog(LogLevel::Info, "rollout_withdrawn", {{"service", service}});
    versions_.removeOrder(service);
    update();
}

void VersionGuard::setSwitched(const std::string &service, const std::optional<std::string> &version)
{
    versions_.setSwitched(service, version);
    update();
}

void VersionGuard::setServing(const std::string &service, const std::string &version)
{
    versions_.setServing(service, version);
    update();
}

std::optional<std::string> VersionGuard::servingVersion(std::string_view service) const
{
    return versions_.servingVersion(service);
}

std::vector<std::string> VersionGuard::targetsOf(std::string_view service, std::string_view version) const
{
    return versions_.targetsOf(service, version);
}

bool VersionGuard::isNew(std::string_view service, std::string_view version) const
{
    return versions_.isNew(service, version);
}

void VersionGuard::requireSkewRecords()
{
    versions_.requireSkewRecords();
}

void VersionGuard::setSkewRecorded(const std::set<std::string, std::less<>> &services)
{
    versions_.setSkewRecorded(services);
}

void VersionGuard::setRecorded(const std::map<std::string, std::string, std::less<>> &versions)
{
    versions_.setRecorded(versions);
    update();
}

void VersionGuard::update()
{
    if (versions_.withheld() != withheld_) {
        withheld_ = versions_.withheld();
        writeLog(LogLevel::Info, "targets_withheld", {{"count", static_cast<std::int64_t>(withheld_.size())}});
        listener_(withheld_);
    }
    const auto unrecorded = versions_.unrecorded();
    if (isLeading_ && !unrecorded.empty()) {
        recorder_(unrecorded);
    }
}

} // namespace Lovageloft
