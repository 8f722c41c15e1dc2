#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/request_scheduler.h"
#include "gateway/protocol.h"
#include "gateway/routing_table.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Name of the scheduler's pool of the targets that a rollout tries.
inline constexpr std::string_view rolloutPool = "rollout";

/// This host's view of the targets: their entries in the store, corrected by what their responses have shown since.
/// Entries lag by up to seconds: an engine may already have new weights, or another target may already have its address.
class TargetDirectory
{
public:
    /// `weightsDeadline`: time after the publication of new weights from which no request may begin on older ones.
    explicit TargetDirectory(Duration weightsDeadline);

    void setWeightsDeadline(Duration deadline);

    /// Sets whether the scheduler adapts to all engines with models, see SchedulerEngine::isAdaptive.
    void setAdaptive(bool isAdaptive);

    /// Data centre of this host. Targets in other data centres count as remote.
    void setDataCentre(std::string dataCentre);

    void setTargets(std::shared_ptr<const TargetMap> targets);
    void setPublishedWeights(const PublishedWeights &weights);

    /// Takes versions that engines list and that are newer than the published ones for published as well: versions only rise, and engines load none that
    /// was not published. The store may hold an older one, if that was written late. Returns whether there were any.
    bool addListedWeights(TimePoint now);

    /// Sets the ids of the targets that get no requests because of their software version.
    void setWithheld(std::set<std::string, std::less<>> withheld);

    /// Whether a target gets no requests because of its software version.
    bool isWithheld(std::string_view targetId) const;

    /// Sets the ids of the targets that only get requests of the rollout pool.
    void setCandidates(std::set<std::string, std::less<>> candidates);

    /// Sets which of the weights found at startup are recent: those whose WeightsRecords key was in the store, by `weightsKeyName`. The
    /// others are older than `recentWeightsPeriod`: engines with weights older than these get no requests any more.
    void setRecentWeights(std::set<std::string> names);

    /// Whether the deadline of some model's newest weights is still running and their publication time is only estimated.
    bool needsPublicationTime(TimePoint now) const;

    /// Weights whose publication time is known, because this host saw the publication or another host reported its time.
    std::vector<PublishedWeights> weightsWithKnownTime() const;

    /// The newest weights of each model, with the known or estimated publication time.
    std::vector<PublishedWeights> newestPublished() const;

    /// Applies a publication time that another host reported. Returns whether it changed anything. A known time is replaced only by one that
    /// is at least 20 ms earlier. A superseded version is added if its deadline still matters. Models and versions that this host has not
    /// seen in the store yet are ignored.
    bool updatePublicationTime(const PublishedWeights &weights);

    /// The latest known or estimated publication time over all models.
    std::optional<TimePoint> newestPublishedAt() const;

    /// Sets the services that the configuration describes. 70 % of an engine's memory hold cached prompts; targets of other services have no
    /// cache. A target of a service with engines that lists no models is not used.
    void setServices(std::span<const TargetService> services);

    const TargetMap &all() const;

    /// The target of an engine name from `engines`; null if it is no longer registered. Valid until setTargets().
    const Target *find(std::string_view engineName) const;

    /// The scheduler's name for the engines that serve a model of a service: "SERVICE|MODEL", or the service alone if its targets
    /// run no models. Targets run models if the configuration says so, or if any of them lists some.
    std::string schedulerModel(std::string_view service, std::string_view model) const;

    /// Version of a model's weights that the target probably runs; 0 if unknown.
    std::int64_t weightsVersionOf(const Target &target, std::string_view model) const;

    /// Handles a target that declined a request without running it: it is full, is loading weights, or differs from its entry.
    /// Excludes it for 400 ms. If it has other weights than expected and newer ones are published, it is instead assumed to have the newest.
    /// If another target has its address, or an answer that reports a mismatch names no target, it is excluded until its incarnation changes.
    void onNotExecuted(std::string_view engineName, const AnswerFacts &facts, std::string_view model, TimePoint now);

    /// An incarnation of a target wants no requests from this host until the given time. A shorter time does not end a longer one. Returns whether
    /// the target did not rest before.
    bool rest(std::string_view targetId, std::int64_t incarnation, TimePoint until, TimePoint now);

    /// Until when a target rests; nothing if it does not.
    std::optional<TimePoint> restUntil(const Target &target, TimePoint now) const;

    /// Excludes a model of a target, or with an empty model the whole target, from scheduling until the given time, or until its entry shows
    /// other models or weights. Replaces an earlier time.
    void avoid(std::string_view targetId, std::string_view model, TimePoint until);

    /// The engines for the scheduler: one for each model of a target, named "TARGET|MODEL"; one, named "TARGET", for a target without models.
    std::vector<SchedulerEngine> engines(TimePoint now) const;

    /// The next time at which the result of `engines` changes without a call to this class; nothing if there is none.
    std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct Correction
    {
        std::int64_t incarnation = 0; ///< The correction applies to this incarnation only.
        bool isAddressReused = false; ///< Another target now has its address.
        TimePoint avoidUntil;
        std::map<std::string, TimePoint, std::less<>> avoidModelUntil;
        std::map<std::string, std::int64_t, std::less<>> weights; ///< Newer versions than in the entry, by model.
    };

    /// What a target that turned a request away has asked this host for.
    struct Rest
    {
        std::int64_t incarnation = 0;
        TimePoint until;
    };

    bool hasEngines(std::string_view service) const;
    const Correction *findCorrection(const Target &target) const;
    bool isModelAvoided(const Target &target, std::string_view model, TimePoint now) const;
    std::int64_t newestVersion(std::string_view model) const;
    TimePoint olderWeightsEnd(const PublishedWeights &newer) const;
    std::optional<TimePoint> firstTokenDeadlineFor(const Target &target, std::string_view model) const;
    SchedulerEngine makeEngine(const Target &target, TimePoint now) const;

    Duration weightsDeadline_;
    bool isAdaptive_ = false;
    std::string dataCentre_;
    std::shared_ptr<const TargetMap> targets_ = std::make_shared<TargetMap>();
    std::set<std::string, std::less<>> modelServices_;
    std::map<std::string, std::vector<PublishedWeights>, std::less<>> published_; ///< By model, oldest first; each version has its own deadline.
    std::optional<std::set<std::string>> recentAtStartup_; ///< Not set until the store has been read.
    std::map<std::string, Correction, std::less<>> corrections_;
    std::map<std::string, Rest, std::less<>> rests_; ///< By target; kept while a target is not listed.
    std::set<std::string, std::less<>> withheld_; ///< Ids of targets whose software version does not serve.
    std::set<std::string, std::less<>> candidates_; ///< Ids of targets in the rollout pool.
    std::map<std::string, TargetService, std::less<>> services_;
};

} // namespace Lovageloft
