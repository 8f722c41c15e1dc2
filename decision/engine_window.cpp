#include "decision/engine_window.h"

#include <algorithm>
#include <bit>

namespace Lovageloft
{

namespace
{

// Usual maximum batch size of an engine; more requests would certainly wait inside it.
constexpr double maxWindow = 256;

// A first token that takes twice its floor has waited as long as it was computed, so a queue has formed in the engine. The
// slowdown from batching alone is smaller.
constexpr double maxFirstTokenSlowdown = 2;

// Strongest single cut, for failures and from a slowdown to a quarter of the speed on, such as one to a tenth. A stronger one would
// overreact to a single sample.
constexpr double minCutFactor = 0.5;

// Weakest cut; makes a slowdown just above the limit take effect within a few answers.
constexpr double maxCutFactor = 0.9;

// Fixed part of the time to the first token, in prompt tokens. Without it short prompts would appear slow per token.
constexpr double fixedOverheadTokens = 256;

// Maximum expected prefill time of the requests without a first token, if there are several. It keeps an engine busy while the
// next request is chosen, and a short prompt behind them still gets its first token well within a second.
constexpr double maxPendingPrefillSeconds = 0.5;

// Used until something has been measured: 10,000 prompt tokens per second, the speed of a current engine.
constexpr double defaultSecondsPerToken = 1e-4;

// A floor expires after one to two epochs: new weights or a smaller accelerator then count as normal. With much shorter epochs
// an engine that is slow for a few minutes would count as normal.
constexpr Duration floorEpoch = std::chrono::minutes(5);

// A window learned before an idle time this long says little about the current load.
constexpr Duration idleTimeout = std::chrono::seconds(10);

} // namespace

bool EngineWindow::canStart(std::int64_t missedTokens) const
{
    if (inFlight_ == 0) {
        return true;
    }
    return inFlight_ < size() && pendingPrefillSeconds_ + prefillSeconds(missedTokens) <= maxPendingPrefillSeconds;
}

EngineWindow::Dispatch EngineWindow::start(std::int64_t missedTokens, TimePoint now)
{
    if (inFlight_ == 0 && now - lastUse_ > idleTimeout) {
        isInSlowStart_ = true;
        window_ = std::max(window_, initialWindow);
    }
    ++inFlight_;
    lastUse_ = now;
    const double expected = prefillSeconds(missedTokens);
    pendingPrefillSeconds_ += expected;
    return {.generation = generation_, .missedTokens = std::max<std::int64_t>(missedTokens, 0), .startedAt = now, .prefillSeconds = expected};
}

void EngineWindow::onFirstToken(Dispatch &dispatch, TimePoint now)
{
    if (dispatch.generation != generation_) {
        return;
    }
    lastUse_ = now;
    endPrefill(dispatch);
    const double ratio = slowdown(dispatch, now);
    if (ratio > maxFirstTokenSlowdown) {
        shrink(dispatch, std::clamp(maxFirstTokenSlowdown / ratio, minCutFactor, maxCutFactor), now);
        return;
    }
    grow();
}

void EngineWindow::onFinished(Dispatch &dispatch, TimePoint now)
{
    if (dispatch.generation != generation_) {
        return;
    }
    lastUse_ = now;
    endPrefill(dispatch);
    inFlight_ -= std::min<std::size_t>(inFlight_, 1);
}

void EngineWindow::onFailed(const Dispatch &dispatch, TimePoint now)
{
    if (dispatch.generation == generation_) {
        shrink(dispatch, minCutFactor, now);
    }
}

void EngineWindow::reset()
{
    ++generation_;
    inFlight_ = 0;
    pendingPrefillSeconds_ = 0;
    window_ = initialWindow;
    isInSlowStart_ = true;
    floors_ = {};
}

std::size_t EngineWindow::size() const
{
    return static_cast<std::size_t>(window_);
}

std::size_t EngineWindow::inFlight() const
{
    return inFlight_;
}

std::size_t EngineWindow::floorIndex(std::int64_t missedTokens)
{
    return std::min<std::size_t>(std::bit_width(static_cast<std::uint64_t>(missedTokens)), floorCount - 1);
}

double EngineWindow::Floor::minimum() const
{
    if (current > 0 && previous > 0) {
        return std::min(current, previous);
    }
    return std::max(current, previous);
}

double EngineWindow::prefillSeconds(std::int64_t missedTokens) const
{
    const std::int64_t tokens = std::max<std::int64_t>(missedTokens, 0);
    const double secondsPerToken = floors_[floorIndex(tokens)].minimum();
    return (secondsPerToken > 0 ? secondsPerToken : defaultSecondsPerToken) * static_cast<double>(tokens);
}

void EngineWindow::endPrefill(Dispatch &dispatch)
{
    pendingPrefillSeconds_ = std::max(0.0, pendingPrefillSeconds_ - dispatch.prefillSeconds);
    dispatch.prefillSeconds = 0;
}

double EngineWindow::slowdown(const Dispatch &dispatch, TimePoint now)
{
    Floor &floor = floors_[floorIndex(dispatch.missedTokens)];
    const double secondsPerToken = toSeconds(now - dispatch.startedAt) / (static_cast<double>(dispatch.missedTokens) + fixedOverheadTokens);
    if (now - floor.epochStart > floorEpoch) {
        floor.previous = floor.current;
        floor.current = 0;
        floor.epochStart = now;
    }
    floor.current = floor.current > 0 ? std::min(floor.current, secondsPerToken) : secondsPerToken;
    return secondsPerToken > 0 ? secondsPerToken / floor.minimum() : 1;
}

void EngineWindow::grow()
{
    // Answers while the window is not even half used are no evidence for a larger one.
    if (2 * inFlight_ < size()) {
        return;
    }
    window_ = std::min(maxWindow, window_ + (isInSlowStart_ ? 1 : 1 / window_));
}

void EngineWindow::shrink(const Dispatch &dispatch, double factor, TimePoint now)
{
    // Requests sent before the last cut reflect the load before it, so they cause no further cut.
    if (dispatch.startedAt < lastShrink_) {
        return;
    }
    window_ = std::max(1.0, window_ * factor);
    isInSlowStart_ = false;
    lastShrink_ = now;
}

} // namespace Lovageloft
