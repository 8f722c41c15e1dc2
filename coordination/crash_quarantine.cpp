#include "coordination/crash_quarantine.h"

#include <algorithm>
#include <set>

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

/// How long it matters that a feature was sound.
constexpr Duration soundMemory = std::chrono::minutes(10);

/// Targets that fail together, as with a rack, say nothing about features that all of them run. Requests are answered elsewhere within this time.
constexpr Duration minCertainAge = std::chrono::seconds(1);

} // namespace

void CrashQuarantine::noteSound(RequestFeature feature, TimePoint now)
{
    soundOf(feature).at = now;
}

void CrashQuarantine::noteBegun(RequestFeature feature, TimePoint now)
{
    soundOf(feature).begunAt = now;
}

CrashQuarantine::Sound &CrashQuarantine::soundOf(RequestFeature feature)
{
    Sound &sound = sound_[static_cast<std::uint64_t>(feature) % soundSlots];
    if (sound.feature != feature) {
        sound = {feature, {}, {}};
    }
    return sound;
}

const CrashQuarantine::Sound *CrashQuarantine::findSound(RequestFeature feature) const
{
    const Sound &sound = sound_[static_cast<std::uint64_t>(feature) % soundSlots];
    return sound.feature == feature ? &sound : nullptr;
}

bool CrashQuarantine::isSoundSince(RequestFeature feature, TimePoint since) const
{
    const Sound *sound = findSound(feature);
    return sound != nullptr && sound->at >= since && sound->at > TimePoint{};
}

bool CrashQuarantine::wasSoundLately(RequestFeature feature, TimePoint now) const
{
    const Sound *sound = findSound(feature);
    return sound != nullptr && now - std::max(sound->at, sound->begunAt) <= soundMemory;
}

std::optional<QuarantineNotice> CrashQuarantine::countCrash(const CrashReport &report, TimePoint now)
{
    evictSuspects(now);
    const auto [entry, isNew] = suspects_.try_emplace(report.feature);
    Suspect &suspect = entry->second;
    if (isNew) {
        suspectOrder_.push_back(report.feature);
    }
    if (now - suspect.lastCrashAt > suspicionWindow || isSoundSince(report.feature, suspect.firstCrashAt)) {
        suspect.crashes.clear();
    }
    suspect.lastCrashAt = now;
    if (suspect.crashes.empty()) {
        suspect.firstCrashAt = now;
        suspect.wasSound = suspect.wasSound || wasSoundLately(report.feature, now);
    }
    const bool isKnown = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&report](const Crash &crash) { return crash.target == report.target; });
    if (!isKnown && suspect.crashes.size() < maxCounted) {
        suspect.crashes.push_back({report.target, report.request});
    }
    const bool isPart = report.feature != report.request;
    if (isPart && requestsOf(suspect) < minRequests) {
        return std::nullopt;
    }
    const Duration age = now - suspect.firstCrashAt;
    const bool isCertain = suspect.crashes.size() >= certainCrashes && age >= minCertainAge;
    const bool isSuspected = suspect.crashes.size() >= maxCrashes && !suspect.wasSound;
    if (!isCertain && !isSuspected) {
        return std::nullopt;
    }
    QuarantineNotice notice{report.feature, age, isCertain};
    for (const Crash &crash : suspect.crashes) {
        notice.targets.push_back(crash.target);
    }
    return notice;
}

std::size_t CrashQuarantine::requestsOf(const Suspect &suspect)
{
    std::set<RequestFeature> requests;
    for (const Crash &crash : suspect.crashes) {
        requests.insert(crash.request);
    }
    return requests.size();
}

/// Whether the crashes are all those of features in quarantine, as far as this host has counted, and one of these has others beside. Of two features
/// with the same crashes, neither explains the other.
bool CrashQuarantine::isExplained(const QuarantineNotice &notice, TimePoint now) const
{
    std::set<std::uint64_t> explained;
    for (const auto &[feature, until] : quarantined_) {
        const auto suspect = suspects_.find(feature);
        if (feature == notice.feature || now >= until || suspect == suspects_.end()) {
            continue;
        }
        for (const Crash &crash : suspect->second.crashes) {
            explained.insert(crash.target);
        }
    }
    const bool isCovered = std::all_of(notice.targets.begin(), notice.targets.end(), [&explained](std::uint64_t target) { return explained.contains(target); });
    return isCovered && !notice.targets.empty() && explained.size() > notice.targets.size();
}

std::optional<QuarantineObjection> CrashQuarantine::objectionTo(const QuarantineNotice &notice, TimePoint now) const
{
    if (isExplained(notice, now)) {
        return QuarantineObjection{notice.feature, {}, true};
    }
    const bool objects = notice.isCertain ? isSoundSince(notice.feature, now - notice.age) : wasSoundLately(notice.feature, now);
    if (!objects) {
        return std::nullopt;
    }
    return QuarantineObjection{notice.feature, now - findSound(notice.feature)->at};
}

void CrashQuarantine::onObjection(const QuarantineObjection &objection, TimePoint now)
{
    const auto found = suspects_.find(objection.feature);
    if (found == suspects_.end()) {
        return;
    }
    Suspect &suspect = found->second;
    if (objection.isExplained) {
        suspect.crashes.clear();
        return;
    }
    suspect.wasSound = true;
    if (now - objection.soundAge >= suspect.firstCrashAt) {
        suspect.crashes.clear();
    }
}

bool CrashQuarantine::add(RequestFeature feature, TimePoint now)
{
    if (contains(feature, now)) {
        return false;
    }
    if (quarantined_.insert_or_assign(feature, now + quarantineDuration).second) {
        quarantineOrder_.push_back(feature);
    }
    if (quarantineOrder_.size() > maxQuarantined) {
        quarantined_.erase(quarantineOrder_.front());
        quarantineOrder_.pop_front();
    }
    return true;
}

bool CrashQuarantine::lift(RequestFeature feature)
{
    if (quarantined_.erase(feature) == 0) {
        return false;
    }
    std::erase(quarantineOrder_, feature);
    return true;
}

bool CrashQuarantine::contains(RequestFeature feature, TimePoint now) const
{
    const auto found = quarantined_.find(feature);
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
