#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// How many requests this host may have in one engine at a time.
///
/// Made for saturated and for slow engines. The harm prevented is that requests queue inside the engine, where they are
/// served in the order of arrival: teams' shares, short work and deadlines then count for nothing, and what waits there
/// can't be sent elsewhere. The window grows by one an answer or a round (slow start, then additive) while the time to the
/// first token stays near the least seen for prompts of that length, and shrinks in proportion when it does not. Prompts
/// are computed one after the other while answers are generated together, so a second bound holds for what is still without
/// its first token.
class EngineWindow
{
public:
    /// One request in flight; handed back with each event of it.
    struct Dispatch
    {
        std::uint32_t generation = 0;
        std::int64_t missedTokens = 0;
        TimePoint startedAt;
        double prefillSeconds = 0; ///< How long its prompt was expected to take; 0 once the first token has come.
    };

    /// Whether another request may be sent, of whose prompt the engine must compute `missedTokens`.
    bool canStart(std::int64_t missedTokens) const;

    /// Counts a request that is sent now; `missedTokens` is the part of its prompt that the engine must compute.
    Dispatch start(std::int64_t missedTokens, TimePoint now);

    /// The first token came. Answers from before a reset are ignored, as in all events.
    void onFirstToken(Dispatch &dispatch, TimePoint now);

    /// The answer ended in any way. Exactly once for each dispatch.
    void onFinished(Dispatch &dispatch, TimePoint now);

    /// The engine failed the request or fell silent; `onFinished` still follows.
    void onFailed(const Dispatch &dispatch, TimePoint now);

    /// The engine crashed or came back as a new incarnation: nothing is in flight and nothing measured holds any more.
    void reset();

    /// Requests allowed in flight, from 1 on.
    std::size_t size() const;

    std::size_t inFlight() const;

private:
    /// The least first-token time a prompt token of one range of lengths, over this epoch and the one before.
    struct Floor
    {
        double current = 0; ///< Seconds a token; 0: nothing measured.
        double previous = 0;
        TimePoint epochStart;

        double least() const;
    };

    // One floor for each power of two of the prompt's length.
    static constexpr std::size_t floorCount = 32;

    static std::size_t floorIndex(std::int64_t missedTokens);
    double prefillSeconds(std::int64_t missedTokens) const;
    void endPrefill(Dispatch &dispatch);
    double slowdown(const Dispatch &dispatch, TimePoint now);
    void grow();
    void shrink(const Dispatch &dispatch, double factor, TimePoint now);

    std::uint32_t generation_ = 0;
    std::size_t inFlight_ = 0;
    double prefillSeconds_ = 0; ///< Expected for all that is without its first token.
    double window_ = initialWindow;
    bool isProbing_ = true; ///< Slow start.
    TimePoint lastShrink_;
    TimePoint lastUse_;
    std::array<Floor, floorCount> floors_{};

    // One that runs and one that follows without a pause; more is learnt within a few answers. Nine hosts that restart
    // together then send an engine 18 requests, less than a usual batch.
    static constexpr double initialWindow = 2;
};

} // namespace Lovageloft
