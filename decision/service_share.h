#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// What part of the tokens that a model's engines took came from one lane, while that lane had work waiting.
///
/// Made for overload beside teams that stay within their part: their work comes later than an offer and still goes first, so
/// the backlog alone promises too short a wait, and what was let in on it expires. Counted in tokens and not in time: while
/// a few long prompts hold all engines nothing is learnt about parts, and no lane may seem closed.
class ServiceShare
{
public:
    /// The lane has work waiting; `servedByAll` is the count of tokens the model's engines have taken so far.
    void onWaiting(double servedByAll, TimePoint now);

    /// A request of the lane was taken; `servedByAll` includes it.
    void onServed(std::int64_t tokens, double servedByAll);

    /// Nothing of the lane waits any more.
    void onEmptied(double servedByAll, TimePoint now);

    /// The share, if `expected` is a guess that weighs as much as `tokens` served; evidence fades over `memory` tokens.
    double share(double expected, double tokens, double servedByAll, double memory);

private:
    void advance(double servedByAll);

    double own_ = 0;
    double all_ = 0;
    double lastServed_ = 0;
    TimePoint emptiedAt_;
    bool isWaiting_ = false;
};

} // namespace Lovageloft
