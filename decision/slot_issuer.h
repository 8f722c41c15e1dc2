#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/decaying_count.h"
#include "decision/concurrency_limit.h"

namespace Lovageloft
{

/// What a host has at a target that states a rejection limit, for the target's home. Each report holds everything, so that a lost one does no harm.
struct SlotReport
{
    std::string target;
    std::int64_t incarnation = 0; ///< As in the target's entry.
    double rejectionLimit = 0; ///< Rejections a second, as the target states.
    std::uint64_t sequence = 0; ///< Rises with each report of a host, also after its restart.
    std::uint32_t wanted = 0; ///< Slots for which requests wait.
    std::uint32_t inUse = 0; ///< Slots that are in use or held.
    std::uint32_t undecided = 0; ///< Those of them whose requests may still be rejected.
    std::uint64_t rejections = 0; ///< Since the host started.
    Duration rejectionTime{}; ///< Longest time from sending a request to its rejection that the host has seen lately; zero if it has seen none.
    std::uint64_t lastGrant = 0; ///< Highest id of a grant that the report takes into account.
    std::uint64_t probe = 0; ///< Id of the newest grant for a probe that is undecided; 0 for none.
    std::uint64_t acceptedProbe = 0; ///< Id of the newest grant for a probe that the target has accepted; 0 for none.
};

/// A home's reply to a report of a host that wants slots.
struct SlotGrant
{
    std::string target;
    std::uint64_t id = 0; ///< Rises with each grant for a target; 0 if nothing is granted now.
    double rate = 0; ///< Slots granted a second over all hosts while there are too few; 0 if there are enough.
    std::uint64_t report = 0; ///< Sequence of the host's newest report.
    bool isProbe = false; ///< The slot is for a request above the number that the target is known to hold.
    Duration acceptanceTime{}; ///< A request that was not rejected within this time has been accepted; zero if no such time is known.
};

/// The part of a home host in sharing the room of targets that state a rejection limit: gives out slots to hosts, each of which allows one request
/// at a time, as ConcurrencyLimit decides. Hosts with the fewest slots go first. Not thread-safe; reads no clock.
class SlotIssuer
{
public:
    /// A grant for a host.
    struct Grant
    {
        std::string host;
        SlotGrant grant;
    };

    /// Another host may have issued slots until `from`: targets that are new to this one get none before.
    void startAt(TimePoint from);

    /// Applies a report and returns what is granted now, to any host. A host that wants slots gets a grant in any case, if need be an empty one.
    std::vector<Grant> onReport(const std::string &host, const SlotReport &report, TimePoint now);

    /// Grants what has become possible because time has passed, and drops hosts and targets that were not heard of for long.
    std::vector<Grant> onTick(TimePoint now);

    /// When to call onTick() next; nothing if there is no such time.
    std::optional<TimePoint> nextEvent(TimePoint now) const;

    /// Drops the targets for which `isHome` is false. If this host becomes their home again, it begins without what it knew before: another home has
    /// granted slots meanwhile.
    template <typename IsHome>
    void retainTargets(const IsHome &isHome)
    {
        std::erase_if(targets_, [&isHome](const auto &entry) { return !isHome(entry.first); });
    }

private:
    /// Over which granted slots are counted.
    static constexpr Duration grantRateTime = std::chrono::seconds(2);

    struct Pending
    {
        std::uint64_t id = 0;
        TimePoint at;
    };

    struct Host
    {
        SlotReport report;
        TimePoint reportedAt;
        TimePoint grantedAt;
        std::deque<Pending> pending; ///< Grants that no report takes into account yet.
    };

    using Hosts = std::map<std::string, Host, std::less<>>;

    struct Target
    {
        std::int64_t incarnation = 0;
        ConcurrencyLimit limit;
        Hosts hosts;
        std::uint64_t lastGrant = 0;
        std::uint64_t probe = 0; ///< Id of the grant for the newest probe; 0 if none is undecided.
        std::string probeHost; ///< That got this grant.
        std::uint64_t timedRejections = 0; ///< Rejections whose times are known.
        TimePoint issuesFrom;
        DecayingCount granted{grantRateTime};
    };

    static std::size_t inUse(const Target &target);
    static std::size_t undecided(const Target &target);
    static Duration longestRejectionTime(const Target &target);
    static Duration acceptanceTime(const Target &target);
    static void applyRejections(Target &target, const SlotReport &report, std::uint64_t rejections, TimePoint now);
    static void updateProbe(Target &target, const std::string &host, const SlotReport &report, TimePoint now);
    static void cancelProbe(Target &target);
    static Hosts::iterator nextHost(Hosts &hosts);
    void issue(const std::string &name, Target &target, TimePoint now, std::vector<Grant> &grants);
    static SlotGrant makeGrant(const std::string &name, const Target &target, const Host &host, std::uint64_t id, TimePoint now);

    std::map<std::string, Target, std::less<>> targets_;
    TimePoint from_;
};

} // namespace Lovageloft
