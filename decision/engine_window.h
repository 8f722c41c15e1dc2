#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// Limits the requests that this host may have in flight at one engine.
///
/// Designed for saturated and for slow engines. It prevents requests from queueing inside the engine, which serves them in order of
/// arrival: team shares, short requests and deadlines are then ignored, and the requests can't be sent elsewhere. The window grows
/// by one per answer (slow start) or per round trip (additive increase) while the time to the first token stays near the minimum
/// for prompts of that length, and shrinks in proportion to the slowdown otherwise. It grows only while at least half of it is in
/// use, to 256 at most. Prompts are computed one after another while answers are generated together, so a second limit applies to
/// the requests that have no first token yet.
class EngineWindow
{
public:
    /// One request in flight; passed to each of its events.
    struct Dispatch
    {
        std::uint32_t generation = 0;
        std::int64_t missedTokens = 0; ///< Prompt tokens that the engine must compute.
        TimePoint startedAt;
        double prefillSeconds = 0; ///< Expected prefill time; 0 after the first token.
    };

    /// Returns whether another request may be sent for which the engine must compute `missedTokens` prompt tokens. Always true if
    /// nothing is in flight.
    bool canStart(std::int64_t missedTokens) const;

    /// Counts a request that is sent now; `missedTokens` are the prompt tokens that the engine must compute.
    Dispatch start(std::int64_t missedTokens, TimePoint now);

    /// Records the first token. Events of requests from before a reset are ignored, here and below.
    void onFirstToken(Dispatch &dispatch, TimePoint now);

    /// Records the end of the request, whatever its outcome. To be called exactly once per dispatch.
    void onFinished(Dispatch &dispatch, TimePoint now);

    /// Records that the engine failed the request or stopped answering. `onFinished` must still be called.
    void onFailed(const Dispatch &dispatch, TimePoint now);

    /// Clears the requests in flight and all measurements; to be called when the engine crashed or has a new incarnation.
    void reset();

    /// Returns the maximum requests in flight; at least 1.
    std::size_t size() const;

    std::size_t inFlight() const;

private:
    /// Minimum time to the first token per computed token for one range of prompt lengths, over the current and the previous epoch of
    /// five minutes. 256 tokens are added to each prompt for the fixed part of the time.
    struct Floor
    {
        double current = 0; ///< Seconds per token; 0 if nothing was measured.
        double previous = 0;
        TimePoint epochStart;

        double minimum() const;
    };

    // One floor per power of two of the prompt length.
    static constexpr std::size_t floorCount = 32;

    static std::size_t floorIndex(std::int64_t missedTokens);
    double prefillSeconds(std::int64_t missedTokens) const;
    void endPrefill(Dispatch &dispatch);
    double slowdown(const Dispatch &dispatch, TimePoint now);
    void grow();
    void shrink(const Dispatch &dispatch, double factor, TimePoint now);

    std::uint32_t generation_ = 0;
    std::size_t inFlight_ = 0;
    double pendingPrefillSeconds_ = 0; ///< Expected prefill time of all requests without a first token.
    double window_ = initialWindow;
    bool isInSlowStart_ = true;
    TimePoint lastShrink_;
    TimePoint lastUse_;
    std::array<Floor, floorCount> floors_{};

    // One request that runs and one that follows without a pause; the window grows within a few answers. Nine hosts that restart
    // together then send an engine 18 requests, less than a usual batch; in larger fleets the sum can exceed a batch.
    static constexpr double initialWindow = 2;
};

} // namespace Lovageloft
