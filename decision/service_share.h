#pragma once

#include <cstdint>

namespace Lovageloft
{

/// Measures the share of the service that a lane of a FairQueue gets: tokens credited to the lane per token served, while the lane
/// needed tokens for queued requests or to pay back negative credit.
///
/// Under overload, requests of teams below their share arrive after an offered request and still go first. The backlog alone then
/// predicts too short a wait, and requests admitted on it expire. The share is measured in tokens instead of time, since a few long
/// prompts that occupy all engines say nothing about shares and must not make any lane look blocked.
class ServiceShare
{
public:
    /// Starts measuring, as the lane needs tokens from now on. `served` is the number of tokens that all lanes were served so far
    /// while contended; see FairQueue::setContended. Earlier measurements are discarded if `epoch` has changed, as by
    /// FairQueue::resetShares, or if more tokens were served since end() than were measured before it.
    void begin(double served, std::uint64_t epoch);

    /// Tokens were credited to the lane. Ignored unless active.
    void onCredited(std::int64_t tokens);

    /// Stops measuring, as the lane needs no tokens any more.
    void end(double served);

    /// Whether the lane is being measured, between begin and end.
    bool isActive() const;

    /// The estimated share. `prior` is the assumed share, with the weight of `priorTokens` served tokens; measurements decay over
    /// `decayTokens` tokens.
    double share(double prior, double priorTokens, double served, double decayTokens);

private:
    void advance(double served);

    double creditedTokens_ = 0;
    double observedTokens_ = 0; ///< Tokens served by all lanes while this one was measured.
    double lastServed_ = 0; ///< Value of `served` up to which observedTokens_ is counted, or at which the lane became inactive.
    std::uint64_t epoch_ = 0;
    bool isActive_ = false;
};

} // namespace Lovageloft
