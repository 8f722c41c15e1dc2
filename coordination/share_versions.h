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

/// The share of one home in a team's rate and burst.
struct HomeShare
{
    std::string host;
    double rate = 0; ///< Tokens per second.
    double burst = 0; ///< Tokens.
};

/// How a team's rate and burst are split at present. While a change propagates, the shares may sum to less than the total.
struct TeamSplit
{
    std::vector<HomeShare> homes; ///< Ascending by host.
    double rate = 0; ///< Of the team over all homes, in the newest version; tokens per second.
    double burst = 0; ///< Likewise, tokens.

    /// The share of one host; rate and burst are 0 if it is not a home.
    HomeShare shareOf(std::string_view host) const;
};

/// The versions of the split that hosts of the fleet may be using at present, and the share of each home that is safe under
/// all of them.
///
/// Hosts learn of a change at different times. If a host used its larger share while another host still spent a share that
/// the change reduces, the team would exceed its rate for as long as the change propagates. Each share is therefore the
/// minimum over all versions from the one known to be in force to the newest one held: a reduction takes effect at once, an
/// increase only when no fresh host can be using an older version.
class ShareVersions
{
public:
    /// `growDelay` is the time from when a version is in force until older versions no longer count; `initialGrowDelay` replaces
    /// it for the first version that this process learns to be in force. Both must be at least the lifetime of a debit, so that
    /// no debit made under an older version is used afterwards.
    ShareVersions(Duration growDelay, Duration initialGrowDelay);

    /// Adds the next version. `isInForce` tells whether it is known to be in force, and matters for the first version only.
    /// Returns false if versions were skipped: the shares in between are unknown, so the caller must drop the tokens that it holds.
    /// A version that is not newer is ignored.
    bool add(const ShareConfiguration &configuration, bool isInForce = false);

    /// Whether any version held is known to be in force. Until then no share is safe to spend from.
    bool hasVersionInForce() const;

    /// Reports that a version is in force, which means that no fresh host holds an older one.
    void onInForce(std::int64_t version, TimePoint now);

    /// Discards the versions that are older than a version in force whose delay has passed. Returns true if any share may have grown.
    bool advance(TimePoint now);

    /// Names of the teams in the newest version, ascending.
    std::vector<std::string> teams() const;

    /// The present split of a team; nothing if the newest version does not contain the team.
    std::optional<TeamSplit> split(std::string_view team) const;

    /// Number of the newest version held; 0 if there is none.
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
    std::deque<Version> versions_; // Ascending, from the oldest that any fresh host may still use.
    std::map<std::int64_t, TimePoint> effectiveAt_; // When a version in force supersedes the older ones.
};

} // namespace Lovageloft
