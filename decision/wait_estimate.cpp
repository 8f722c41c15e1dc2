#include "decision/wait_estimate.h"

#include <algorithm>
#include <cmath>

namespace Lovageloft
{

namespace
{

// Time constant of the exponential decay, in blocked time. Long enough to average over several prompts of 60,000 tokens, short
// enough that the loss of an engine lowers the rate within the usual deadline of 10 s.
constexpr double decaySeconds = 10;

// In tokens per second. Keeps the wait finite while all engines are stalled.
constexpr double minRate = 1;

// A larger change is a caller's error or a fleet that starts from zero; the rate must then be measured.
constexpr double minScale = 0.01;
constexpr double maxScale = 100;

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
    if (now - updatedAt_ > assumption_.staleAfter && seconds_ > assumption_.seconds) {
        tokens_ *= assumption_.seconds / seconds_;
        seconds_ = assumption_.seconds;
    }
    isBlocked_ = true;
    updatedAt_ = now;
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
    tokens_ *= std::clamp(factor, minScale, maxScale);
}

void WaitEstimate::advance(TimePoint now)
{
    if (!isBlocked_ || now <= updatedAt_) {
        return;
    }
    const double decay = std::exp(-toSeconds(now - updatedAt_) / decaySeconds);
    tokens_ *= decay;
    seconds_ = seconds_ * decay + decaySeconds * (1 - decay);
    updatedAt_ = now;
}

bool WaitEstimate::isBlocked() const
{
    return isBlocked_;
}

double WaitEstimate::rate() const
{
    return seconds_ > 0 ? std::max(minRate, tokens_ / seconds_) : minRate;
}

Duration WaitEstimate::waitFor(std::int64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) / rate());
}

} // namespace Lovageloft
