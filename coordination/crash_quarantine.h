#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/request_feature.h"
#include "core/clock.h"

namespace Lovageloft
{

/// Reports that a target crashed, or closed the connection, while it ran a request with this feature.
struct CrashReport
{
    RequestFeature feature{};
    std::uint64_t target = 0; ///< Hash of the target's name and start time.
    RequestFeature request{}; ///< The whole request; the same as `feature` if that is reported.
};

/// Requests with a feature are not sent to targets any more.
struct QuarantineNotice
{
    RequestFeature feature{};
    Duration age{}; ///< Since the first of the crashes that were counted.
    bool isCertain = false; ///< A host that has seen the feature answered before these crashes does not object.
    std::vector<std::uint64_t> targets = {}; ///< CrashReport::target of the crashes that were counted.
};

/// A host knows a feature as sound, or knows what else has caused the crashes.
struct QuarantineObjection
{
    RequestFeature feature{};
    Duration soundAge{}; ///< Since the last answer to a request with it.
    bool isExplained = false; ///< Not known as sound, but the crashes are those of features in quarantine.
};

/// Prevents requests with a feature that crashes each target which runs it, and which come at any host, from crashing a whole fleet of targets.
///
/// No single host sees enough of the attempts to detect this. Each host therefore reports a target that it lost, with each feature of the request that
/// it had there, to home hosts of the feature. A home host that received reports of several different targets, each within two minutes of the
/// previous one, quarantines the feature for ten minutes and notifies all hosts. Features of requests that were answered are sound: such requests merely
/// ran on the same targets at the same time. Crashes that all are those of features in quarantine, which have others beside, don't count. An answer from before
/// the crashes counts less, as targets may crash on the feature only since then. The number of entries is limited; the oldest are evicted first.
class CrashQuarantine
{
public:
    /// Number of different targets that a feature may crash before requests with it are refused.
    static constexpr std::size_t maxCrashes = 3;

    /// The same for a feature that was sound earlier.
    static constexpr std::size_t certainCrashes = 5;

    /// Different requests in which a part of a prompt must have crashed targets: a single one is told by its own feature.
    static constexpr std::size_t minRequests = 2;

    /// A target has answered a request with the feature, or has written its answer for long. Up to 8,192 features are remembered.
    void noteSound(RequestFeature feature, TimePoint now);

    /// A target has begun to answer a request. Counts as an answer from before the crashes.
    void noteBegun(RequestFeature feature, TimePoint now);

    /// Counts a crash on a home host. Returns the notice if there are enough for a quarantine.
    std::optional<QuarantineNotice> countCrash(const CrashReport &report, TimePoint now);

    /// What this host knows against a notice; nothing if it agrees.
    std::optional<QuarantineObjection> objectionTo(const QuarantineNotice &notice, TimePoint now) const;

    /// Applies an objection to a notice of this home host. Earlier crashes don't count any more if they are explained or the feature was sound since; in the
    /// latter case certainty is needed for others.
    void onObjection(const QuarantineObjection &objection, TimePoint now);

    /// Quarantines a feature; returns false if it was quarantined already.
    bool add(RequestFeature feature, TimePoint now);

    /// Ends a quarantine; returns false if there was none.
    bool lift(RequestFeature feature);

    bool contains(RequestFeature feature, TimePoint now) const;

    /// Number of features in quarantine.
    std::size_t size(TimePoint now) const;

private:
    struct Crash
    {
        std::uint64_t target = 0;
        RequestFeature request{};
    };

    struct Suspect
    {
        std::vector<Crash> crashes; ///< Of different targets, `maxCounted` at most.
        TimePoint firstCrashAt;
        TimePoint lastCrashAt;
        bool wasSound = false; ///< A host has seen it answered, possibly before the crashes.
    };

    struct Sound
    {
        RequestFeature feature{};
        TimePoint at; ///< Of the last answer.
        TimePoint begunAt; ///< Of the last beginning of an answer.
    };

    Sound &soundOf(RequestFeature feature);
    const Sound *findSound(RequestFeature feature) const;
    bool isSoundSince(RequestFeature feature, TimePoint since) const;
    bool wasSoundLately(RequestFeature feature, TimePoint now) const;
    static std::size_t requestsOf(const Suspect &suspect);
    bool isExplained(const QuarantineNotice &notice, TimePoint now) const;
    void evictSuspects(TimePoint now);

    static constexpr std::size_t soundSlots = 8'192;
    static constexpr std::size_t maxCounted = 64;

    std::vector<Sound> sound_ = std::vector<Sound>(soundSlots); ///< Indexed by the lower bits; newer ones replace older ones.
    std::unordered_map<RequestFeature, Suspect> suspects_;
    std::deque<RequestFeature> suspectOrder_; ///< In the order of the first crash.
    std::unordered_map<RequestFeature, TimePoint> quarantined_; ///< Time at which the quarantine ends.
    std::deque<RequestFeature> quarantineOrder_;
};

} // namespace Lovageloft
