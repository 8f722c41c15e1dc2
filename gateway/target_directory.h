#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/request_scheduler.h"
#include "gateway/protocol.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// What this host believes of the targets: their entries in the store, corrected by what their answers have shown since.
/// Entries lag: an engine has new weights, or an address has a new owner, up to seconds before the list says so.
class TargetDirectory
{
public:
    /// `weightsDeadline`: time after new weights were named from which no request may begin on older ones.
    explicit TargetDirectory(Duration weightsDeadline);

    void setWeightsDeadline(Duration deadline);

    /// Where this host is.
    void setDataCentre(std::string dataCentre);

    void setTargets(std::shared_ptr<const TargetMap> targets);
    void setPublishedWeights(const PublishedWeights &weights);

    /// The weights that the store still kept as young when this host started, by their names. Others that it found then are older.
    void setRecentWeights(std::set<std::string> names);

    /// Whether weights are in force of which this host doesn't know how long ago they were named.
    bool needsPublicationTime(TimePoint now) const;

    /// Weights whose `publishedAt` is when they were named, as this host heard of them then or was told since.
    std::vector<PublishedWeights> weightsWithKnownTime() const;

    /// The newest weights of each model, with `publishedAt` as this host reckons it.
    std::vector<PublishedWeights> newestPublished() const;

    /// Another host knows when weights were named. True if that is news.
    bool updatePublicationTime(const PublishedWeights &weights);

    /// When the weights named last were named, as this host reckons it.
    std::optional<TimePoint> newestPublishedAt() const;

    /// Tokens that one engine of each service holds.
    void setCacheTokens(std::map<std::string, double, std::less<>> tokens);

    const TargetMap &all() const;

    /// The target behind a name that `engines` gave to the scheduler.
    const Target *find(std::string_view engineName) const;

    /// The name under which the scheduler keeps the engines that can serve a model of a service; the service alone where its
    /// targets run no models.
    std::string schedulerModel(std::string_view service, std::string_view model) const;

    /// The version of a model that the target is believed to run.
    std::int64_t weightsVersionOf(const Target &target, std::string_view model) const;

    /// A target declined a request without running it: it is full, loads, or is not what its entry says.
    void onNotExecuted(std::string_view engineName, const AnswerFacts &facts, std::string_view model, TimePoint now);

    /// Leaves a target alone for a while.
    void avoid(std::string_view targetId, TimePoint until);

    /// The list for the scheduler.
    std::vector<SchedulerEngine> engines(TimePoint now) const;

    /// When `engines` changes though nothing was heard.
    std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct Correction
    {
        std::int64_t incarnation = 0; ///< Holds for this one only.
        bool isReplaced = false; ///< Another target has its address.
        TimePoint avoidUntil;
        std::map<std::string, std::int64_t, std::less<>> weights; ///< Newer than in the entry.
    };

    const Correction *correctionOf(const Target &target) const;
    std::int64_t newestVersion(std::string_view model) const;
    TimePoint endOfOlder(const PublishedWeights &named) const;
    std::optional<TimePoint> endOfUse(const Target &target, std::string_view model) const;
    SchedulerEngine engineOf(const Target &target, TimePoint now) const;

    Duration weightsDeadline_;
    std::string dataCentre_;
    std::shared_ptr<const TargetMap> targets_ = std::make_shared<TargetMap>();
    std::set<std::string, std::less<>> modelServices_;
    std::map<std::string, std::vector<PublishedWeights>, std::less<>> named_; ///< By model, newest last; each version has its own deadline.
    std::optional<std::set<std::string>> youngAtStart_; ///< Unknown until the store has been read.
    std::map<std::string, Correction, std::less<>> corrections_;
    std::map<std::string, double, std::less<>> cacheTokens_; ///< By service.
};

} // namespace Lovageloft
