#include "decision/version_history.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace Lovageloft
{

std::uint32_t shortDigest(std::string_view name)
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size())), 1);
}

void VersionHistory::setRetention(Duration retention)
{
    retention_ = retention;
}

Duration VersionHistory::retention() const
{
    return retention_;
}

void VersionHistory::setTargets(std::span<const ServiceVersion> listed, TimePoint now)
{
    const bool isFirst = !startedAt_;
    startedAt_ = startedAt_.value_or(now);
    for (auto &[name, service] : services_) {
        for (auto &[version, lastListed] : service.lastListed) {
            lastListed = std::min(lastListed, now);
        }
    }
    for (const ServiceVersion &target : listed) {
        Service &service = services_[std::string(target.service)];
        service.lastListed.insert_or_assign(std::string(target.version), TimePoint::max());
        service.wasListedAtStart = service.wasListedAtStart || isFirst;
    }
    for (auto &[name, service] : services_) {
        std::erase_if(service.lastListed, [this, now](const auto &entry) { return !isRecent(entry.second, now); });
    }
}

void VersionHistory::observe(TimePoint listedUntil)
{
    if (listedUntil <= listedUntil_) {
        return;
    }
    const bool isFirst = listedUntil_ == TimePoint{};
    if (!isFirst && listedUntil - listedUntil_ > maxListAge) {
        gapEndedAt_ = listedUntil;
    }
    listedUntil_ = listedUntil;
}

TimePoint VersionHistory::listedUntil() const
{
    return listedUntil_;
}

const std::optional<TimePoint> &VersionHistory::gapEndedAt() const
{
    return gapEndedAt_;
}

void VersionHistory::setSkewed(std::set<std::string, std::less<>> services)
{
    skewed_ = std::move(services);
}

void VersionHistory::setEarlier(const std::set<std::string, std::less<>> &skewed, const std::map<std::string, std::string, std::less<>> &serving)
{
    skewedBefore_ = skewed;
    servingBefore_ = serving;
}

bool VersionHistory::isRecent(TimePoint lastListed, TimePoint now) const
{
    return lastListed == TimePoint::max() || now - lastListed < retention_;
}

bool VersionHistory::isYoung(TimePoint now) const
{
    return !startedAt_ || now - *startedAt_ < retention_;
}

/// Whether all versions of the service that were listed within the retention time are known here.
bool VersionHistory::isComplete(std::string_view service, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    const bool hadGap = gapEndedAt_ && now - *gapEndedAt_ < retention_;
    if (hadGap && skewed_.contains(service)) {
        return false;
    }
    if (!isYoung(now)) {
        return true;
    }
    // Where no target was listed at the start, those before may have been of any version.
    if (!skewedBefore_ || skewedBefore_->contains(service) || !found->second.wasListedAtStart) {
        return false;
    }
    const auto recorded = servingBefore_.find(service);
    return recorded != servingBefore_.end() && found->second.lastListed.contains(recorded->second);
}

bool VersionHistory::hadSeveral(std::string_view service, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    return std::count_if(
               found->second.lastListed.begin(), found->second.lastListed.end(), [this, now](const auto &entry) { return isRecent(entry.second, now); })
        > 1;
}

std::optional<std::string> VersionHistory::onlyVersion(std::string_view service, TimePoint now) const
{
    const auto found = services_.find(service);
    const bool isCurrent = now - listedUntil_ <= maxListAge;
    if (!isCurrent || found == services_.end() || hadSeveral(service, now) || !isComplete(service, now)) {
        return std::nullopt;
    }
    for (const auto &[version, lastListed] : found->second.lastListed) {
        if (isRecent(lastListed, now)) {
            return version;
        }
    }
    return std::nullopt;
}

std::optional<std::string> VersionHistory::versionName(std::string_view service, std::uint32_t digest, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return std::nullopt;
    }
    for (const auto &[version, lastListed] : found->second.lastListed) {
        if (isRecent(lastListed, now) && shortDigest(version) == digest) {
            return version;
        }
    }
    return std::nullopt;
}

std::optional<std::string> VersionHistory::serviceName(std::uint32_t digest) const
{
    const auto found = std::find_if(services_.begin(), services_.end(), [digest](const auto &entry) { return shortDigest(entry.first) == digest; });
    return found != services_.end() ? std::optional(found->first) : std::nullopt;
}

std::vector<std::string> VersionHistory::skewedServices(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[name, service] : services_) {
        const auto recorded = servingBefore_.find(name);
        const bool wasReplaced = recorded != servingBefore_.end() && !service.lastListed.empty() && !service.lastListed.contains(recorded->second);
        const bool wasSkewed = skewedBefore_ && (skewedBefore_->contains(name) || wasReplaced) && !isComplete(name, now);
        if (hadSeveral(name, now) || wasSkewed) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace Lovageloft
