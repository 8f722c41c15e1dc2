#include "decision/engine_window.h"

#include <algorithm>
#include <bit>

namespace Lovageloft
{

namespace
{

// Sequences an engine usually batches at most; more would certainly wait inside it.
constexpr double mostWindow = 256;

// A first token that takes twice its floor has waited as long as it was computed: a queue has formed in the engine.
// Batching alone stays below that.
constexpr double slowdownLimit = 2;

// The strongest single cut. A slowdown to a tenth calls for it; more would react to one unlucky sample.
constexpr double strongestCut = 0.5;

// The weakest cut, so that a slowdown barely above the limit has an effect within a few answers.
constexpr double weakestCut = 0.9;

// The fixed part of a first-token time, as prompt tokens: without it short prompts would seem slow for each token.
constexpr double fixedTokens = 256;

// Prompts sent before the first token of the one before may take this long together: it keeps an engine busy while the next
// request is chosen, and a short question behind them still has its first token well within a second.
constexpr double mostPrefillSeconds = 0.5;

// Seconds a prompt token until something has been measured: 10,000 tokens a second, as one engine of today.
constexpr double assumedPace = 1e-4;

// The floor forgets after one to two epochs: new weights or a smaller accelerator are then the normal case. Much
// shorter, and an engine that is slow for a few minutes would count as normal.
constexpr Duration epoch = std::chrono::minutes(5);

// What was learnt about load before a pause this long says little about the load now.
constexpr Duration idleAfter = std::chrono::seconds(10);

} // namespace

bool EngineWindow::canStart(std::int64_t missedTokens) const
{
    if (inFlight_ == 0) {
        return true;
    }
    return inFlight_ < size() && prefillSeconds_ + prefillSeconds(missedTokens) <= mostPrefillSeconds;
}

EngineWindow::Dispatch EngineWindow::start(std::int64_t missedTokens, TimePoint now)
{
    if (inFlight_ == 0 && now - lastUse_ > idleAfter) {
        isProbing_ = true;
        window_ = std::max(window_, initialWindow);
    }
    ++inFlight_;
    lastUse_ = now;
    const double expected = prefillSeconds(missedTokens);
    prefillSeconds_ += expected;
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
    if (ratio > slowdownLimit) {
        shrink(dispatch, std::clamp(slowdownLimit / ratio, strongestCut, weakestCut), now);
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
        shrink(dispatch, strongestCut, now);
    }
}

void EngineWindow::reset()
{
    ++generation_;
    inFlight_ = 0;
    prefillSeconds_ = 0;
    window_ = initialWindow;
    isProbing_ = true;
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

double EngineWindow::Floor::least() const
{
    if (current > 0 && previous > 0) {
        return std::min(current, previous);
    }
    return std::max(current, previous);
}

double EngineWindow::prefillSeconds(std::int64_t missedTokens) const
{
    const std::int64_t tokens = std::max<std::int64_t>(missedTokens, 0);
    const double pace = floors_[floorIndex(tokens)].least();
    return (pace > 0 ? pace : assumedPace) * static_cast<double>(tokens);
}

void EngineWindow::endPrefill(Dispatch &dispatch)
{
    prefillSeconds_ = std::max(0.0, prefillSeconds_ - dispatch.prefillSeconds);
    dispatch.prefillSeconds = 0;
}

double EngineWindow::slowdown(const Dispatch &dispatch, TimePoint now)
{
    Floor &floor = floors_[floorIndex(dispatch.missedTokens)];
    const double pace = toSeconds(now - dispatch.startedAt) / (static_cast<double>(dispatch.missedTokens) + fixedTokens);
    if (now - floor.epochStart > epoch) {
        floor.previous = floor.current;
        floor.current = 0;
        floor.epochStart = now;
    }
    floor.current = floor.current > 0 ? std::min(floor.current, pace) : pace;
    return pace > 0 ? pace / floor.least() : 1;
}

void EngineWindow::grow()
{
    // A window that isn't used proves nothing about a larger one.
    if (2 * inFlight_ < size()) {
        return;
    }
    window_ = std::min(mostWindow, window_ + (isProbing_ ? 1 : 1 / window_));
}

void EngineWindow::shrink(const Dispatch &dispatch, double factor, TimePoint now)
{
    // Requests sent before the last cut still show the load from before it: they may not cut again.
    if (dispatch.startedAt < lastShrink_) {
        return;
    }
    window_ = std::max(1.0, window_ * factor);
    isProbing_ = false;
    lastShrink_ = now;
}

} // namespace Lovageloft
