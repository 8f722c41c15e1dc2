#include "gateway/target_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decision/earliest_time.h"

namespace Lovageloft
{

namespace
{

/// How long a target that declined gets no requests. Loading new weights takes about 400 ms and a full queue drains within a few
/// requests; requests sent earlier would only be declined again.
constexpr Duration declineBackoff = std::chrono::milliseconds(400);

/// Assumed prefill speed of engines until their responses show the actual one: about that of a mid-size model on one accelerator.
constexpr double assumedPrefillTokensPerSecond = 90'000;

/// Assumed speed of targets that run no models. Each of their requests counts as serviceCallWorkTokens.
constexpr double serviceTokensPerSecondAndSlot = 2'000;

/// Fraction of an engine's memory that holds cached prompts. Running requests use the rest: two or three of the eight prompts that fit.
constexpr double promptCacheFraction = 0.7;

constexpr char nameSeparator = '|';

/// Version of a model's weights in the target's entry; 0 if it does not list the model.
std::int64_t servedVersion(const Target &target, std::string_view model)
{
    const auto found = std::find_if(target.models.begin(), target.models.end(), [model](const ServedModel &served) { return served.name == model; });
    return found != target.models.end() ? found->version : 0;
}

} // namespace

TargetDirectory::TargetDirectory(Duration weightsDeadline)
    : weightsDeadline_(weightsDeadline)
{
}

void TargetDirectory::setWeightsDeadline(Duration deadline)
{
    weightsDeadline_ = deadline;
}

void TargetDirectory::setAdaptive(bool isAdaptive)
{
    isAdaptive_ = isAdaptive;
}

void TargetDirectory::setDataCentre(std::string dataCentre)
{
    dataCentre_ = std::move(dataCentre);
}

void TargetDirectory::setTargets(std::shared_ptr<const TargetMap> targets)
{
    for (const auto &[id, target] : *targets) {
        const auto previous = targets_->find(id);
        const auto correction = corrections_.find(id);
        if (previous != targets_->end() && correction != corrections_.end() && !(previous->second.models == target.models)) {
            correction->second.avoidUntil = {}; // A new entry with other weights means that loading has finished.
            std::erase_if(correction->second.avoidModelUntil, [&before = previous->second, &after = target](const auto &avoided) {
                return servedVersion(before, avoided.first) != servedVersion(after, avoided.first);
            });
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
    const std::int64_t newest = newestVersion(weights.model);
    if (weights.version <= newest) {
        // Engines may have listed the version before this host saw its publication.
        if (weights.version == newest && isPublicationTimeKnown(weights)) {
            updatePublicationTime(weights);
        }
        return;
    }
    std::vector<PublishedWeights> &versions = published_[weights.model];
    versions.push_back(weights);
    // If the deadline ran from the time of reading, a host that restarted, was cut off or stalled during the publication would keep sending
    // to engines that missed the update beyond the real deadline. If the deadline were assumed to be over, a fleet that restarts right after
    // a publication would have no engine to use. So an age in between is assumed.
    if (!isPublicationTimeKnown(weights)) {
        const Duration assumedAge = recentWeightsPeriod(weightsDeadline_);
        versions.back().publishedAt -= weights.wereFoundAtStartup ? assumedAge : std::min(assumedAge, weights.silence);
    }
    // Once the deadline of a version has passed, the versions before it no longer matter.
    const auto isExpired = [&](const PublishedWeights &version) { return weights.publishedAt >= version.publishedAt + weightsDeadline_; };
    while (versions.size() > 2 && isExpired(versions[1])) {
        versions.erase(versions.begin());
    }
}

bool TargetDirectory::addListedWeights(TimePoint now)
{
    bool hasAdded = false;
    for (const auto &[id, target] : *targets_) {
        for (const ServedModel &model : target.models) {
            if (published_.contains(model.name) && model.version > newestVersion(model.name)) {
                setPublishedWeights({model.name, model.version, now, false, weightsDeadline_});
                hasAdded = true;
            }
        }
    }
    return hasAdded;
}

bool TargetDirectory::isWithheld(std::string_view targetId) const
{
    return withheld_.contains(targetId);
}

void TargetDirectory::setCandidates(std::set<std::string, std::less<>> candidates)
{
    candidates_ = std::move(candidates);
}

void TargetDirectory::setWithheld(std::set<std::string, std::less<>> withheld)
{
    withheld_ = std::move(withheld);
}

void TargetDirectory::setRecentWeights(std::set<std::string> names)
{
    recentAtStartup_ = std::move(names);
}

bool TargetDirectory::needsPublicationTime(TimePoint now) const
{
    return std::any_of(published_.begin(), published_.end(), [&](const auto &entry) {
        const PublishedWeights &newest = entry.second.back();
        return !isPublicationTimeKnown(newest) && now < newest.publishedAt + weightsDeadline_;
    });
}

std::vector<PublishedWeights> TargetDirectory::weightsWithKnownTime() const
{
    std::vector<PublishedWeights> known;
    for (const auto &[model, versions] : published_) {
        std::copy_if(versions.begin(), versions.end(), std::back_inserter(known), isPublicationTimeKnown);
    }
    return known;
}

std::vector<PublishedWeights> TargetDirectory::newestPublished() const
{
    std::vector<PublishedWeights> newest;
    std::transform(published_.begin(), published_.end(), std::back_inserter(newest), [](const auto &entry) { return entry.second.back(); });
    return newest;
}

bool TargetDirectory::updatePublicationTime(const PublishedWeights &weights)
{
    const auto found = published_.find(weights.model);
    if (found == published_.end()) {
        return false; // Nothing has been read from the store yet; the caller asks again later.
    }
    std::vector<PublishedWeights> &versions = found->second;
    const auto existing =
        std::find_if(versions.begin(), versions.end(), [&](const PublishedWeights &published) { return published.version >= weights.version; });
    if (existing == versions.end()) {
        return false; // Not yet seen in the store; the watch will deliver it.
    }
    if (existing->version > weights.version && versions.back().publishedAt >= existing->publishedAt + weightsDeadline_) {
        return false; // A newer version has passed its deadline.
    }
    if (existing->version > weights.version) {
        // Published before this host started and superseded since: its deadline still applies to engines with older weights.
        versions.insert(existing, weights);
        return true;
    }
    // No host sees weights before their publication, so the earlier of two reported times is more accurate.
    constexpr Duration timestampTolerance = std::chrono::milliseconds(20);
    if (isPublicationTimeKnown(*existing) && weights.publishedAt > existing->publishedAt - timestampTolerance) {
        return false;
    }
    *existing = weights;
    return true;
}

std::optional<TimePoint> TargetDirectory::newestPublishedAt() const
{
    std::optional<TimePoint> newest;
    for (const auto &[model, versions] : published_) {
        newest = std::max(newest, std::optional(versions.back().publishedAt));
    }
    return newest;
}

void TargetDirectory::setServices(std::span<const TargetService> services)
{
    services_.clear();
    for (const TargetService &service : services) {
        services_.insert_or_assign(service.name, service);
    }
}

bool TargetDirectory::hasEngines(std::string_view service) const
{
    const auto found = services_.find(service);
    return modelServices_.contains(service) || (found != services_.end() && found->second.hasEngines);
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
    if (hasEngines(service)) {
        name.append(1, nameSeparator).append(model);
    }
    return name;
}

std::int64_t TargetDirectory::weightsVersionOf(const Target &target, std::string_view model) const
{
    std::int64_t version = servedVersion(target, model);
    if (const Correction *correction = findCorrection(target)) {
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
        correction.avoidUntil = now + declineBackoff;
        return;
    }
    const bool isSameTarget = facts.targetId == target->id;
    if (isSameTarget && newestVersion(model) > weightsVersionOf(*target, model)) {
        correction.weights[std::string(model)] = newestVersion(model);
        return;
    }
    correction.isAddressReused = !isSameTarget;
    correction.avoidUntil = now + declineBackoff;
}

bool TargetDirectory::rest(std::string_view targetId, std::int64_t incarnation, TimePoint until, TimePoint now)
{
    std::erase_if(rests_, [now](const auto &entry) { return entry.second.until <= now; });
    const auto [known, isNew] = rests_.try_emplace(std::string(targetId), Rest{incarnation, until});
    if (isNew || known->second.incarnation < incarnation) {
        known->second = {incarnation, until};
        return true;
    }
    if (known->second.incarnation == incarnation) {
        known->second.until = std::max(known->second.until, until);
    }
    return false;
}

std::optional<TimePoint> TargetDirectory::restUntil(const Target &target, TimePoint now) const
{
    const auto found = rests_.find(target.id);
    const bool isResting = found != rests_.end() && found->second.incarnation == target.incarnation && now < found->second.until;
    return isResting ? std::optional(found->second.until) : std::nullopt;
}

void TargetDirectory::avoid(std::string_view targetId, std::string_view model, TimePoint until)
{
    const Target *target = find(targetId);
    if (target == nullptr) {
        return;
    }
    Correction &correction = corrections_[target->id];
    correction.incarnation = target->incarnation;
    if (model.empty()) {
        correction.avoidUntil = until;
    } else {
        correction.avoidModelUntil.insert_or_assign(std::string(model), until);
    }
}

bool TargetDirectory::isModelAvoided(const Target &target, std::string_view model, TimePoint now) const
{
    const Correction *correction = findCorrection(target);
    if (correction == nullptr) {
        return false;
    }
    const auto until = correction->avoidModelUntil.find(model);
    return until != correction->avoidModelUntil.end() && now < until->second;
}

std::vector<SchedulerEngine> TargetDirectory::engines(TimePoint now) const
{
    std::vector<SchedulerEngine> engines;
    for (const auto &[id, target] : *targets_) {
        SchedulerEngine engine = makeEngine(target, now);
        if (target.models.empty()) {
            engine.name = id;
            engine.model = target.service;
            engine.isServing = engine.isServing && !hasEngines(target.service);
            engines.push_back(std::move(engine));
            continue;
        }
        for (const ServedModel &model : target.models) {
            SchedulerEngine copy = engine;
            copy.name = id + nameSeparator + model.name;
            copy.model = target.service + nameSeparator + model.name;
            copy.weightsVersion = std::to_string(weightsVersionOf(target, model.name));
            copy.firstTokenDeadline = firstTokenDeadlineFor(target, model.name);
            copy.isServing = copy.isServing && (!copy.firstTokenDeadline || now < *copy.firstTokenDeadline) && !isModelAvoided(target, model.name, now);
            engines.push_back(std::move(copy));
        }
    }
    return engines;
}

std::optional<TimePoint> TargetDirectory::nextChange(TimePoint now) const
{
    EarliestTime next(now);
    for (const auto &[id, correction] : corrections_) {
        next.consider(correction.avoidUntil);
        for (const auto &[model, until] : correction.avoidModelUntil) {
            next.consider(until);
        }
    }
    for (const auto &[id, rest] : rests_) {
        next.consider(rest.until);
    }
    for (const auto &[model, versions] : published_) {
        for (const PublishedWeights &weights : versions) {
            next.consider(olderWeightsEnd(weights));
        }
    }
    return next.value();
}

const TargetDirectory::Correction *TargetDirectory::findCorrection(const Target &target) const
{
    const auto found = corrections_.find(target.id);
    return found != corrections_.end() && found->second.incarnation == target.incarnation ? &found->second : nullptr;
}

std::int64_t TargetDirectory::newestVersion(std::string_view model) const
{
    const auto found = published_.find(model);
    return found == published_.end() ? 0 : found->second.back().version;
}

/// When requests stop being sent to engines with weights older than the given ones.
TimePoint TargetDirectory::olderWeightsEnd(const PublishedWeights &newer) const
{
    const bool wasPublishedLongAgo = newer.wereFoundAtStartup && recentAtStartup_ && !recentAtStartup_->contains(weightsKeyName(newer));
    return wasPublishedLongAgo ? TimePoint{} : newer.publishedAt + olderWeightsGracePeriod(weightsDeadline_);
}

/// Time after which no request may begin on the target's weights, because newer ones were published; nothing if there are no newer ones.
std::optional<TimePoint> TargetDirectory::firstTokenDeadlineFor(const Target &target, std::string_view model) const
{
    std::optional<TimePoint> end;
    const auto found = published_.find(model);
    if (found == published_.end()) {
        return end;
    }
    const std::int64_t version = weightsVersionOf(target, model);
    for (const PublishedWeights &newer : found->second) {
        if (newer.version > version) {
            end = std::min(end.value_or(TimePoint::max()), olderWeightsEnd(newer));
        }
    }
    return end;
}

SchedulerEngine TargetDirectory::makeEngine(const Target &target, TimePoint now) const
{
    SchedulerEngine engine;
    engine.target = target.id;
    engine.softwareVersion = target.softwareVersion;
    engine.incarnation = static_cast<std::uint64_t>(target.incarnation);
    engine.batchLimit = static_cast<std::uint32_t>(target.slots);
    engine.prefillTokensPerSecond = target.models.empty() ? serviceTokensPerSecondAndSlot * static_cast<double>(target.slots) : assumedPrefillTokensPerSecond;
    const auto service = services_.find(target.service);
    engine.cacheTokens = service != services_.end() ? static_cast<double>(service->second.cacheTokens) * promptCacheFraction : 0;
    const Correction *correction = findCorrection(target);
    const bool isAvoided = correction != nullptr && (correction->isAddressReused || now < correction->avoidUntil);
    const bool isCandidate = candidates_.contains(target.id);
    const bool wouldServe = !target.isLeaving && (isCandidate || !withheld_.contains(target.id)) && !(correction != nullptr && correction->isAddressReused);
    const auto resting = restUntil(target, now);
    engine.restUntil = wouldServe ? resting : std::nullopt;
    engine.isServing = wouldServe && !isAvoided && !resting;
    engine.pool = isCandidate ? rolloutPool : std::string_view();
    engine.isAdaptive = isAdaptive_ && !target.models.empty();
    engine.isRemote = target.dataCentre != dataCentre_;
    return engine;
}

} // namespace Lovageloft
