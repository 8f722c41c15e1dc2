#include "gateway/target_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lovageloft
{

namespace
{

/// How long a target that declined is left alone. A load of new weights takes about 400 ms and a full queue drains within a
/// few requests; each request sent in between only comes back.
constexpr Duration declinePause = std::chrono::milliseconds(400);

/// Speed at which engines are assumed to compute prompts until their answers show otherwise; about a mid-size model on one accelerator.
constexpr double assumedPrefillTokensPerSecond = 90'000;

/// For plain services the same figures describe calls: one counts as serviceCallWorkTokens, of which a target does so many a second and slot.
constexpr double plainTokensPerSecondAndSlot = 2'000;

/// Part of an engine's memory that keeps prompts; running requests take the rest: two or three prompts of the eight that fit.
constexpr double cachePart = 0.7;

constexpr char nameSeparator = '|';

} // namespace

TargetDirectory::TargetDirectory(Duration weightsDeadline)
    : weightsDeadline_(weightsDeadline)
{
}

void TargetDirectory::setWeightsDeadline(Duration deadline)
{
    weightsDeadline_ = deadline;
}

void TargetDirectory::setDataCentre(std::string dataCentre)
{
    dataCentre_ = std::move(dataCentre);
}

void TargetDirectory::setTargets(std::shared_ptr<const TargetMap> targets)
{
    for (const auto &[id, target] : *targets) {
        const auto known = targets_->find(id);
        const auto correction = corrections_.find(id);
        if (known != targets_->end() && correction != corrections_.end() && !(known->second.models == target.models)) {
            correction->second.avoidUntil = {}; // It says that it has loaded.
        }
    }
    targets_ = std::move(targets);
    modelServices_.clear();
    for (const auto &[id, target] : *targets_) {
        if (!target.models.empty()) {
            modelServices_.insert(target.service);
        }
    }
    std::erase_if(corrections_, [this](const auto &entry) {
        const auto target = targets_->find(entry.first);
        return target == targets_->end() || target->second.incarnation != entry.second.incarnation;
    });
}

void TargetDirectory::setPublishedWeights(const PublishedWeights &weights)
{
    if (weights.version <= newestVersion(weights.model)) {
        return;
    }
    std::vector<PublishedWeights> &versions = named_[weights.model];
    versions.push_back(weights);
    // Counted from when they were heard of, a host that restarts, or that was cut off or stood still while they were named, would go on
    // sending to engines that were left out of the round for as long again; counted as long past, a fleet that restarts right after new
    // weights were named would have no engine.
    if (!isPublicationTimeKnown(weights)) {
        const Duration youth = recentWeightsPeriod(weightsDeadline_);
        versions.back().publishedAt -= weights.wereFoundAtStartup ? youth : std::min(youth, weights.silence);
    }
    // Once a version's deadline has passed, the ones before it tell nothing more.
    const auto isPast = [&](const PublishedWeights &known) { return weights.publishedAt >= known.publishedAt + weightsDeadline_; };
    while (versions.size() > 2 && isPast(versions[1])) {
        versions.erase(versions.begin());
    }
}

void TargetDirectory::setRecentWeights(std::set<std::string> names)
{
    youngAtStart_ = std::move(names);
}

bool TargetDirectory::needsPublicationTime(TimePoint now) const
{
    return std::any_of(named_.begin(), named_.end(), [&](const auto &entry) {
        const PublishedWeights &newest = entry.second.back();
        return !isPublicationTimeKnown(newest) && now < newest.publishedAt + weightsDeadline_;
    });
}

std::vector<PublishedWeights> TargetDirectory::weightsWithKnownTime() const
{
    std::vector<PublishedWeights> known;
    for (const auto &[model, versions] : named_) {
        std::copy_if(versions.begin(), versions.end(), std::back_inserter(known), isPublicationTimeKnown);
    }
    return known;
}

std::vector<PublishedWeights> TargetDirectory::newestPublished() const
{
    std::vector<PublishedWeights> newest;
    std::transform(named_.begin(), named_.end(), std::back_inserter(newest), [](const auto &entry) { return entry.second.back(); });
    return newest;
}

bool TargetDirectory::updatePublicationTime(const PublishedWeights &weights)
{
    const auto found = named_.find(weights.model);
    if (found == named_.end()) {
        return false; // Nothing was read yet; it is asked for again.
    }
    std::vector<PublishedWeights> &versions = found->second;
    const auto known = std::find_if(versions.begin(), versions.end(), [&](const PublishedWeights &named) { return named.version >= weights.version; });
    if (known == versions.end()) {
        return false; // Newer than what the store has told this host; it will.
    }
    if (known->version > weights.version && versions.back().publishedAt >= known->publishedAt + weightsDeadline_) {
        return false; // Long followed.
    }
    if (known->version > weights.version) {
        // Named before this host started and followed by others since: engines that are older still have its deadline.
        versions.insert(known, weights);
        return true;
    }
    // Nobody hears of weights before they are named: of two hosts that know, the one that heard first is nearer.
    constexpr Duration sameTime = std::chrono::milliseconds(20);
    if (isPublicationTimeKnown(*known) && weights.publishedAt > known->publishedAt - sameTime) {
        return false;
    }
    *known = weights;
    return true;
}

std::optional<TimePoint> TargetDirectory::newestPublishedAt() const
{
    std::optional<TimePoint> newest;
    for (const auto &[model, versions] : named_) {
        newest = std::max(newest, std::optional(versions.back().publishedAt));
    }
    return newest;
}

void TargetDirectory::setCacheTokens(std::map<std::string, double, std::less<>> tokens)
{
    cacheTokens_ = std::move(tokens);
}

const TargetMap &TargetDirectory::all() const
{
    return *targets_;
}

const Target *TargetDirectory::find(std::string_view engineName) const
{
    const auto found = targets_->find(engineName.substr(0, engineName.find(nameSeparator)));
    return found == targets_->end() ? nullptr : &found->second;
}

std::string TargetDirectory::schedulerModel(std::string_view service, std::string_view model) const
{
    std::string name(service);
    if (modelServices_.contains(service)) {
        name.append(1, nameSeparator).append(model);
    }
    return name;
}

std::int64_t TargetDirectory::weightsVersionOf(const Target &target, std::string_view model) const
{
    std::int64_t version = 0;
    for (const ServedModel &served : target.models) {
        if (served.name == model) {
            version = served.version;
        }
    }
    if (const Correction *correction = correctionOf(target)) {
        const auto corrected = correction->weights.find(model);
        version = corrected != correction->weights.end() ? std::max(version, corrected->second) : version;
    }
    return version;
}

void TargetDirectory::onNotExecuted(std::string_view engineName, const AnswerFacts &facts, std::string_view model, TimePoint now)
{
    const Target *target = find(engineName);
    if (target == nullptr) {
        return;
    }
    Correction &correction = corrections_[target->id];
    correction.incarnation = target->incarnation;
    if (!facts.isTargetMismatch) {
        correction.avoidUntil = now + declinePause;
        return;
    }
    const bool isSameTarget = facts.targetId == target->id;
    if (isSameTarget && newestVersion(model) > weightsVersionOf(*target, model)) {
        correction.weights[std::string(model)] = newestVersion(model);
        return;
    }
    correction.isReplaced = !isSameTarget;
    correction.avoidUntil = now + declinePause;
}

void TargetDirectory::avoid(std::string_view targetId, TimePoint until)
{
    if (const Target *target = find(targetId)) {
        Correction &correction = corrections_[target->id];
        correction.incarnation = target->incarnation;
        correction.avoidUntil = until;
    }
}

std::vector<SchedulerEngine> TargetDirectory::engines(TimePoint now) const
{
    std::vector<SchedulerEngine> engines;
    for (const auto &[id, target] : *targets_) {
        SchedulerEngine engine = engineOf(target, now);
        if (target.models.empty()) {
            engine.name = id;
            engine.model = target.service;
            engines.push_back(std::move(engine));
            continue;
        }
        for (const ServedModel &model : target.models) {
            SchedulerEngine copy = engine;
            copy.name = id + nameSeparator + model.name;
            copy.model = target.service + nameSeparator + model.name;
            copy.weightsVersion = std::to_string(weightsVersionOf(target, model.name));
            copy.firstTokenDeadline = endOfUse(target, model.name);
            copy.isServing = copy.isServing && (!copy.firstTokenDeadline || now < *copy.firstTokenDeadline);
            engines.push_back(std::move(copy));
        }
    }
    return engines;
}

std::optional<TimePoint> TargetDirectory::nextChange(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&next, now](TimePoint time) {
        if (time > now && (!next || time < *next)) {
            next = time;
        }
    };
    for (const auto &[id, correction] : corrections_) {
        consider(correction.avoidUntil);
    }
    for (const auto &[model, versions] : named_) {
        for (const PublishedWeights &weights : versions) {
            consider(endOfOlder(weights));
        }
    }
    return next;
}

const TargetDirectory::Correction *TargetDirectory::correctionOf(const Target &target) const
{
    const auto found = corrections_.find(target.id);
    return found != corrections_.end() && found->second.incarnation == target.incarnation ? &found->second : nullptr;
}

std::int64_t TargetDirectory::newestVersion(std::string_view model) const
{
    const auto found = named_.find(model);
    return found == named_.end() ? 0 : found->second.back().version;
}

/// Until when older weights may be used, where these have been named.
TimePoint TargetDirectory::endOfOlder(const PublishedWeights &named) const
{
    const bool isLongNamed = named.wereFoundAtStartup && youngAtStart_ && !youngAtStart_->contains(weightsKeyName(named));
    return isLongNamed ? TimePoint{} : named.publishedAt + olderWeightsGracePeriod(weightsDeadline_);
}

/// Until when requests may begin on the target's weights; nothing while no newer ones are named.
std::optional<TimePoint> TargetDirectory::endOfUse(const Target &target, std::string_view model) const
{
    std::optional<TimePoint> end;
    const auto found = named_.find(model);
    if (found == named_.end()) {
        return end;
    }
    const std::int64_t version = weightsVersionOf(target, model);
    for (const PublishedWeights &named : found->second) {
        if (named.version > version) {
            end = std::min(end.value_or(TimePoint::max()), endOfOlder(named));
        }
    }
    return end;
}

SchedulerEngine TargetDirectory::engineOf(const Target &target, TimePoint now) const
{
    SchedulerEngine engine;
    engine.incarnation = static_cast<std::uint64_t>(target.incarnation);
    engine.batchLimit = static_cast<std::uint32_t>(target.slots);
    engine.prefillTokensPerSecond = target.models.empty() ? plainTokensPerSecondAndSlot * static_cast<double>(target.slots) : assumedPrefillTokensPerSecond;
    const auto cache = cacheTokens_.find(target.service);
    engine.cacheTokens = cache != cacheTokens_.end() ? cache->second * cachePart : 0;
    const Correction *correction = correctionOf(target);
    const bool isAvoided = correction != nullptr && (correction->isReplaced || now < correction->avoidUntil);
    engine.isServing = !target.isLeaving && !isAvoided;
    engine.isRemote = target.dataCentre != dataCentre_;
    return engine;
}

} // namespace Lovageloft
