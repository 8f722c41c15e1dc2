#include "decision/wait_estimate.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

// Seconds of blocked time over which evidence fades. Long enough to average over several prompts of 60,000 tokens, short
// enough that the loss of an engine shows before a usual deadline of 10 s has passed.
constexpr double memorySeconds = 10;

// Weight of a rate that is only assumed or out of date: one second of measuring counts as much.
constexpr double assumedSeconds = 1;

// After this long without a blocked queue the fleet may have changed (a night, a weekend): the old rate is still the best
// guess but gives way to the first second of new evidence.
constexpr Duration staleAfter = std::chrono::minutes(10);

// Keeps the wait finite while all engines stand still.
constexpr double leastRate = 1;

} // namespace

WaitEstimate::WaitEstimate(double initialRate)
    : tokens_(initialRate * assumedSeconds)
    , seconds_(assumedSeconds)
{
}

void WaitEstimate::onBlocked(TimePoint now)
{
    if (isBlocked_) {
        advance(now);
        return;
    }
    if (now - last_ > staleAfter && seconds_ > assumedSeconds) {
        tokens_ *= assumedSeconds / seconds_;
        seconds_ = assumedSeconds;
    }
    isBlocked_ = true;
    last_ = now;
}

void WaitEstimate::onDispatched(std::int64_t tokens, TimePoint now)
{
    if (!isBlocked_) {
        return;
    }
    advance(now);
    tokens_ += static_cast<double>(tokens);
}

void WaitEstimate::onEmptied(TimePoint now)
{
    if (!isBlocked_) {
        return;
    }
    advance(now);
    isBlocked_ = false;
}

void WaitEstimate::advance(TimePoint now)
{
    if (!isBlocked_ || now <= last_) {
        return;
    }
    const double kept = std::exp(-toSeconds(now - last_) / memorySeconds);
    tokens_ *= kept;
    seconds_ = seconds_ * kept + memorySeconds * (1 - kept);
    last_ = now;
}

double WaitEstimate::rate() const
{
    return std::max(leastRate, tokens_ / seconds_);
}

Duration WaitEstimate::waitFor(std::int64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) / rate());
}

} // namespace Lovageloft
