#pragma once

#include <cstdint>
#include <ostream>

#include "tests/servers/raw_caller.h"

namespace Lovageloft
{

/// How a streamed answer ended for its caller.
enum class StreamOutcome : std::uint8_t
{
    Whole, ///< All tokens once and in order, and the end.
    EndedWithError, ///< In order so far, then an event that says that it failed.
    Refused, ///< A refusal in place of an answer.
    Broken, ///< The connection ended in the middle, which a caller can tell.
    Misleading, ///< Looks whole and is not, or is out of order or another request's: what must never happen.
};

std::ostream &operator<<(std::ostream &out, StreamOutcome outcome);

/// Judges a stream of a stand-in engine's chat answer that should have `tokens` tokens.
StreamOutcome judgeStream(const CallerAnswer &answer, std::int64_t tokens);

} // namespace Lovageloft
