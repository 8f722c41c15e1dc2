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

// Keeps the wait finite while all engines stand still.
constexpr double leastRate = 1;

// A change beyond these is an error of the caller or a fleet that starts from nothing; measuring has to take over then.
constexpr double leastScale = 0.01;
constexpr double mostScale = 100;

} // namespace

WaitEstimate::WaitEstimate(const Assumption &assumption)
    : assumption_(assumption)
    , tokens_(assumption.rate * assumption.seconds)
    , seconds_(assumption.seconds)
{
}

void WaitEstimate::onBlocked(TimePoint now)
{
    if (isBlocked_) {
        advance(now);
        return;
    }
    if (now - last_ > assumption_.staleAfter && seconds_ > assumption_.seconds) {
        tokens_ *= assumption_.seconds / seconds_;
        seconds_ = assumption_.seconds;
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

void WaitEstimate::onRequeued(std::int64_t tokens)
{
    if (!isBlocked_) {
        return;
    }
    tokens_ = std::max(0.0, tokens_ - static_cast<double>(tokens));
}

void WaitEstimate::onEmptied(TimePoint now)
{
    if (!isBlocked_) {
        return;
    }
    advance(now);
    isBlocked_ = false;
}

void WaitEstimate::scale(double factor)
{
    tokens_ *= std::clamp(factor, leastScale, mostScale);
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

bool WaitEstimate::isBlocked() const
{
    return isBlocked_;
}

double WaitEstimate::rate() const
{
    return seconds_ > 0 ? std::max(leastRate, tokens_ / seconds_) : leastRate;
}

Duration WaitEstimate::waitFor(std::int64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) / rate());
}

} // namespace Lovageloft
