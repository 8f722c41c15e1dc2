#pragma once

#include <cstdint>

namespace Lovageloft
{

/// What a lane earned for each token that the engines took, while the lane needed tokens: for work that waits or to pay
/// back what it was served ahead of its part.
///
/// Made for overload beside teams that stay within their part: their work comes later than an offer and still goes first, so
/// the backlog alone promises too short a wait, and what was let in on it expires. Counted in tokens and not in time: while
/// a few long prompts hold all engines nothing is learnt about parts, and no lane may seem closed.
class ServiceShare
{
public:
    /// The lane needs tokens from now on; `served` counts the tokens that engines took so far, `epoch` the times at which
    /// what was learnt before became worthless.
    void begin(double served, std::uint64_t epoch);

    /// The lane was given tokens; ignored outside of begin and end.
    void onEarned(std::int64_t tokens);

    /// The lane needs nothing any more.
    void end(double served);

    bool isActive() const;

    /// The share, if `expected` is a guess that weighs as much as `tokens` served. Evidence fades over `memory` tokens.
    double share(double expected, double tokens, double served, double memory);

private:
    void advance(double served);

    double earned_ = 0;
    double all_ = 0;
    double last_ = 0; ///< The count of served tokens up to which all_ goes, or at which the lane stopped needing any.
    std::uint64_t epoch_ = 0;
    bool isActive_ = false;
};

} // namespace Lovageloft
