#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include "drivers/answer_verifier.h"
#include "drivers/http_exchange.h"
#include "drivers/sse_reader.h"
#include "servers/caller_exchange.h"

namespace Lovageloft
{

/// How one attempt to get an answer ended.
enum class RelayResult : std::uint8_t
{
    Done, ///< The caller has the whole answer.
    CallerGone,
    Failed, ///< The reason says why; another engine may carry on.
};

/// Carries a stream of events from engines to one caller. A stream that breaks is carried on by another engine from the
/// first chunk that the caller lacks, so that each chunk passes once and in order.
class StreamRelay
{
public:
    /// `onFirstContent` is called each time an engine's first event arrives.
    StreamRelay(CallerExchange &exchange, AnswerVerifier &verifier, std::function<void()> onFirstContent);

    /// Relays from an engine whose answer's head has been read.
    RelayResult relay(HttpExchange &engine, Reason &reason);

    /// Whether the caller has had any byte of the answer.
    bool hasBegun() const;

    /// When the first content left for the caller; the arrival if none did.
    TimePoint firstContent() const;

    /// Ends a stream that can't be completed with an event that says so; the caller never takes it for whole.
    void endWithError(std::string_view refusalJson);

private:
    /// Passes whole events on; nothing as long as the stream goes on.
    std::optional<RelayResult> forwardEvents(SseReader &reader, Reason &reason);
    static void append(std::string_view data, std::string &out);
    bool flush();

    CallerExchange &exchange_;
    AnswerVerifier &verifier_;
    std::function<void()> onFirstContent_;
    std::ostream *out_ = nullptr;
    std::string pending_; ///< To be sent next.
    std::string held_; ///< The end of the answer, until [DONE] has come: a stream that breaks before can still be carried on.
    TimePoint firstContent_;
};

} // namespace Lovageloft
