#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/share_split.h"
#include "core/clock.h"

namespace Lovageloft
{

/// One home's part of a team's rate and burst.
struct HomeShare
{
    std::string host;
    double rate = 0;
    double burst = 0;
};

/// How a team's rate and burst are split at present. While a change is on its way the parts sum to less than the whole.
struct TeamSplit
{
    std::vector<HomeShare> homes; ///< Ascending by host.
    double rate = 0; ///< The whole of the newest version.
    double burst = 0;

    /// The part of one host, 0 and 0 if it is no home.
    HomeShare shareOf(std::string_view host) const;
};

/// The versions of the split that hosts of the fleet may be working by just now, and the part of each home that is
/// safe under all of them.
///
/// What goes wrong without it: hosts learn of a change at different times, a grower takes up its larger part while a
/// shrinker still spends its old one, and the team passes its rate for as long as the news travels. So each part is
/// the least over all versions from the one known to be in force to the newest held: shrinking is at once, growing
/// waits until no fresh host can work by an older version.
class ShareVersions
{
public:
    /// `growDelay` is waited after a version is in force before it alone counts, and `initialGrowDelay` with the first that a
    /// process hears to be in force. Both must be at least the lifetime of a debit, so that nothing debited under an
    /// older version is used afterwards.
    ShareVersions(Duration growDelay, Duration initialGrowDelay);

    /// Takes the next version. `isInForce` says whether it is known to be in force; only that of the first one counts.
    /// False if versions were skipped: then nothing is known of what lay between, and whoever holds tokens must drop
    /// them. An old version is ignored.
    bool add(const ShareConfiguration &configuration, bool isInForce = false);

    /// Whether any version held is known to be in force. Before that, no part is safe to spend from.
    bool hasVersionInForce() const;

    /// A version is in force: no host that is fresh holds an older one.
    void onInForce(std::int64_t version, TimePoint now);

    /// Lets a version in force count alone once its delay has passed; true if any part may have grown.
    bool advance(TimePoint now);

    /// Names of the teams in the newest version, ascending.
    std::vector<std::string> teams() const;

    /// The present split of a team; nothing if the newest version lacks it.
    std::optional<TeamSplit> split(std::string_view team) const;

    /// The newest version held, 0 before the first.
    std::int64_t newest() const;

private:
    struct TeamEntry
    {
        std::vector<std::string> homes;
        double rate = 0;
        double burst = 0;
    };

    struct Version
    {
        std::int64_t number = 0;
        std::vector<std::string> hosts;
        std::map<std::string, TeamEntry, std::less<>> teams;
    };

    Version makeVersion(const ShareConfiguration &configuration) const;
    HomeShare minShare(std::string_view team, const std::string &host) const;

    Duration growDelay_;
    Duration initialGrowDelay_;
    bool hasVersionInForce_ = false;
    std::deque<Version> versions_; // From the one that may be in force at the longest-lagging fresh host to the newest.
    std::map<std::int64_t, TimePoint> effectiveAt_;
};

} // namespace Lovageloft
