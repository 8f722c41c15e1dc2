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

/// A team's limit over all hosts.
struct TeamLimit
{
    std::string name;
    double rate = 0; ///< Tokens a second; 0: no limit.
    double burst = 0; ///< Tokens.
};

/// This host's part in keeping every team within its rate, as a token bucket a team that gets a share of the team's limit.
///
/// The load it is made for: one team sends several times its rate to all hosts. The harm prevented: its work takes the targets
/// from teams within their rate. The shares of all hosts add up to one at any time, so that the sum holds without a message
/// while a host is cut off. Not thread-safe; reads no clock.
class TeamRateLimiter
{
public:
    /// Whether a request larger than a full bucket may run from a full one and leave a debt. It would never run otherwise; but each of
    /// hundreds of hosts, with small buckets of their own, would let one such request pass.
    enum class LargeRequestPolicy : std::uint8_t
    {
        AllowDebt,
        Refuse,
    };

    explicit TeamRateLimiter(LargeRequestPolicy largeRequestPolicy = LargeRequestPolicy::AllowDebt);

    /// Replaces the limits. A team that is known keeps what it has, up to its new burst; a new one begins with half of its burst:
    /// hosts that restart together would otherwise each hand out a whole one again.
    void setLimits(std::span<const TeamLimit> limits, TimePoint now);

    /// The part of every limit that this host may give out, in [0, 1].
    void setShare(double share, TimePoint now);

    /// Takes `tokens`; false with OverRate and the time after which they would be there.
    bool tryConsume(std::string_view team, double tokens, TimePoint now, Reason &reason, Duration &retryAfter);

    /// Begins anew with this part of a full bucket and is refilled from `since` on: another host gave out this part until then.
    void resetBucket(std::string_view team, double part, TimePoint since);

    /// Returns tokens of a request that did not run.
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
