#include "coordination/crash_quarantine.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr std::size_t maxSuspects = 4'096;
constexpr std::size_t maxQuarantined = 1'024;

/// Crashes further apart than this are not counted together: now and then any request runs on a target that crashes for another reason.
constexpr Duration suspicionWindow = std::chrono::minutes(2);

/// Quarantine ends after this time, because the request may be harmless once the targets have been fixed.
constexpr Duration quarantineDuration = std::chrono::minutes(10);

} // namespace

void CrashQuarantine::noteAnswered(RequestFeature request)
{
    answered_[static_cast<std::uint64_t>(request) % answeredSlots] = request;
}

bool CrashQuarantine::isSuspect(RequestFeature request) const
{
    return answered_[static_cast<std::uint64_t>(request) % answeredSlots] != request;
}

bool CrashQuarantine::countCrash(const CrashReport &report, TimePoint now)
{
    evictSuspects(now);
    const auto [entry, isNew] = suspects_.try_emplace(report.request);
    Suspect &suspect = entry->second;
    if (isNew) {
        suspectOrder_.push_back(report.request);
    }
    if (now - suspect.lastCrashAt > suspicionWindow) {
        suspect.crashes = 0;
    }
    suspect.lastCrashAt = now;
    const auto end = suspect.targets.begin() + static_cast<std::ptrdiff_t>(suspect.crashes);
    if (suspect.crashes < maxCrashes && std::find(suspect.targets.begin(), end, report.target) == end) {
        suspect.targets.at(suspect.crashes++) = report.target;
    }
    return suspect.crashes >= maxCrashes;
}

bool CrashQuarantine::add(RequestFeature request, TimePoint now)
{
    if (!isSuspect(request) || contains(request, now)) {
        return false;
    }
    if (quarantined_.insert_or_assign(request, now + quarantineDuration).second) {
        quarantineOrder_.push_back(request);
    }
    if (quarantineOrder_.size() > maxQuarantined) {
        quarantined_.erase(quarantineOrder_.front());
        quarantineOrder_.pop_front();
    }
    return true;
}

bool CrashQuarantine::contains(RequestFeature request, TimePoint now) const
{
    const auto found = quarantined_.find(request);
    return found != quarantined_.end() && now < found->second;
}

std::size_t CrashQuarantine::size(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(quarantined_.begin(), quarantined_.end(), [now](const auto &entry) { return now < entry.second; }));
}

void CrashQuarantine::evictSuspects(TimePoint now)
{
    while (!suspectOrder_.empty()) {
        const auto oldest = suspects_.find(suspectOrder_.front());
        const bool isFull = suspectOrder_.size() > maxSuspects;
        if (!isFull && now - oldest->second.lastCrashAt <= suspicionWindow) {
            return;
        }
        suspects_.erase(oldest);
        suspectOrder_.pop_front();
    }
}

} // namespace Lovageloft
