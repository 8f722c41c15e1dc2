#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/clock.h"

/// Service times of engines, learned from the responses that this host and others observe.
namespace Lovageloft
{

/// What an engine has to do for the first byte of a response.
struct PromptWork
{
    double missedTokens = 0; ///< Prompt tokens that it computes.
    double heldTokens = 0; ///< Prompt tokens that it has cached, which the computed ones attend to.
};

/// Coefficients of the time to first byte, in seconds.
struct TimeCoefficients
{
    double fixedSeconds = 0;
    double secondsPerToken = 0; ///< Per computed token.
    double secondsPerPair = 0; ///< Per pair of a computed token and a token before it: the cost of attention.
};

/// Weighted sums over observations, from which the coefficients follow. Sums of several hosts can be added.
struct TimeStatistics
{
    static constexpr std::size_t termCount = 3;
    static constexpr std::size_t productCount = termCount * (termCount + 1) / 2;

    std::array<double, productCount> products{}; ///< Of each two terms, by rows of the upper triangle.
    std::array<double, termCount> responses{}; ///< Of each term with the observed time.
};

/// Learns the time to first byte of a group of engines, those that serve one model:
///
///     fixedSeconds + missedTokens * secondsPerToken + missedTokens * (heldTokens + missedTokens / 2) * secondsPerPair
///
/// A linear regression of relative errors over the last seconds, with the assumed coefficients as a prior. Observations above the estimate weigh less than
/// those below it, as a request may have waited in the engine behind others that are not known here. Designed for hosts that see ten short and one long
/// prompt a second: hosts tell each other their own sums, so that each estimates from the observations of all. Performs no I/O and reads no clock. Not
/// thread-safe.
class EngineTimeModel
{
public:
    explicit EngineTimeModel(const TimeCoefficients &assumed);

    /// Adds the observed time to the first byte of a request that was expected to wait for `expectedWaitSeconds` before the engine began it. `pace` is how long
    /// the engine says that work takes there, relative to the usual 1. Observations that are not finite or not positive are ignored.
    void observe(const PromptWork &work, double observedSeconds, double expectedWaitSeconds, double pace, TimePoint now);

    /// The sums over this host's own observations. Those of others are left out: an error would otherwise come back and be taken for a confirmation.
    TimeStatistics ownStatistics(TimePoint now) const;

    /// Replaces the sums of another host, which is named by a digest. Sums that no observations could have are ignored.
    void mergeStatistics(std::uint64_t host, const TimeStatistics &statistics, TimePoint now);

    /// Updates the coefficients.
    void update(TimePoint now);

    /// As of the last update(), each between a twentieth and twenty times the assumed one.
    const TimeCoefficients &coefficients() const
    {
        return coefficients_;
    }

    /// Expected seconds to the first byte without any wait.
    double seconds(const PromptWork &work) const;

    /// The part of seconds() that keeps the engine from computing other prompts.
    double computeSeconds(const PromptWork &work) const;

private:
    struct HostStatistics
    {
        TimeStatistics statistics;
        TimePoint receivedAt;
    };

    void decayTo(TimePoint now);

    TimeCoefficients assumed_;
    TimeCoefficients coefficients_;
    TimeStatistics own_;
    TimePoint decayedTo_;
    std::unordered_map<std::uint64_t, HostStatistics> others_;
};

} // namespace Lovageloft
