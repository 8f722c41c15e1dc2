#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result_code.h"

namespace Lovageloft
{

/// Rate limit of a team over all hosts.
struct TeamLimit
{
    std::string name;
    double rate = 0; ///< Tokens per second; 0 for no limit.
    double burst = 0; ///< Tokens.
};

/// Rate limiter with a token bucket for each team. Each host gives out its share of a team's limit.
///
/// Prevents a team that sends several times its rate to all hosts from taking the targets from teams within their rate. The callers
/// of setShare() must choose shares of all hosts that add up to at most one at any time. Then the limit holds without messages between
/// hosts, also while a host is partitioned. Not thread-safe; reads no clock.
class TeamRateLimiter
{
public:
    /// What happens to a request that is larger than a full bucket.
    enum class LargeRequestPolicy : std::uint8_t
    {
        /// Runs from a full bucket, which becomes negative. Otherwise such a request could never run.
        AllowDebt,
        /// Never runs. For hundreds of hosts with small buckets of their own, each of which would otherwise admit one such request.
        Refuse,
    };

    explicit TeamRateLimiter(LargeRequestPolicy largeRequestPolicy = LargeRequestPolicy::AllowDebt);

    /// Replaces the limits. A known team keeps its tokens, up to its new burst. A new team starts with half of its burst: hosts that
    /// restart together would otherwise each give out a full burst again.
    void setLimits(std::span<const TeamLimit> limits, TimePoint now);

    /// Sets the fraction of every limit that this host may give out, clamped to [0, 1].
    void setShare(double share, TimePoint now);

    /// Consumes `tokens`; if the bucket holds too few, returns false, OverRate and the time until it would hold enough, or be full if
    /// that is less, clamped to 1 ms to 10 s. Returns true for an unknown team and for a team without a limit.
    bool tryConsume(std::string_view team, double tokens, TimePoint now, Reason &reason, Duration &retryAfter);

    /// Fills a team's bucket to a fraction of its capacity and refills it from `since` on: until then another host gave out this share.
    void resetBucket(std::string_view team, double fillFraction, TimePoint since);

    /// Returns the tokens of a request that did not run.
    void refund(std::string_view team, double tokens);

private:
    struct Bucket
    {
        TeamLimit limit;
        double tokens = 0;
        TimePoint refilledAt;
    };

    void refill(Bucket &bucket, TimePoint now) const;
    double capacity(const Bucket &bucket) const;

    LargeRequestPolicy largeRequestPolicy_;
    std::map<std::string, Bucket, std::less<>> buckets_;
    double share_ = 1;
};

} // namespace Lovageloft
