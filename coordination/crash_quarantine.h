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

/// Reports that a target crashed, or closed the connection, before it began to answer a request.
struct CrashReport
{
    RequestFeature request{};
    std::uint64_t target = 0; ///< Hash of the target's name and start time.
};

/// Prevents a request that crashes each target that runs it, and that callers retry at any host, from crashing a whole fleet of targets.
///
/// No single host sees enough of the attempts to detect such a request. Each host therefore reports a target that it lost with the request to
/// the request's home hosts, which rendezvous hashing selects. A home host that received reports of `maxCrashes` different targets, each
/// within two minutes of the previous one, quarantines the request for ten minutes and notifies all hosts. Requests that were answered once,
/// such as those that happened to run on the same targets at the same time, are not suspected. The number of entries is limited; the oldest
/// are evicted first.
class CrashQuarantine
{
public:
    /// Number of different targets that a request may crash before it is refused.
    static constexpr std::size_t maxCrashes = 3;

    /// Records that this host received an answer to the request, or the beginning of one.
    void noteAnswered(RequestFeature request);

    /// Whether the loss of a target with this request is to be reported to its home hosts: true unless this host recently received an answer
    /// to the request, of which up to 8,192 are remembered.
    bool isSuspect(RequestFeature request) const;

    /// Counts a crash on a home host; returns whether the request has now crashed `maxCrashes` different targets.
    bool countCrash(const CrashReport &report, TimePoint now);

    /// Quarantines a request; returns false if it was quarantined already or is known to be harmless.
    bool add(RequestFeature request, TimePoint now);

    bool contains(RequestFeature request, TimePoint now) const;

    /// Number of requests in quarantine.
    std::size_t size(TimePoint now) const;

private:
    struct Suspect
    {
        std::array<std::uint64_t, maxCrashes> targets{};
        std::size_t crashes = 0;
        TimePoint lastCrashAt;
    };

    void evictSuspects(TimePoint now);

    static constexpr std::size_t answeredSlots = 8'192;

    std::vector<RequestFeature> answered_ = std::vector<RequestFeature>(answeredSlots); ///< Indexed by the lower bits; newer ones replace older ones.
    std::unordered_map<RequestFeature, Suspect> suspects_;
    std::deque<RequestFeature> suspectOrder_; ///< In the order of the first crash.
    std::unordered_map<RequestFeature, TimePoint> quarantined_; ///< Time at which the quarantine ends.
    std::deque<RequestFeature> quarantineOrder_;
};

} // namespace Lovageloft
