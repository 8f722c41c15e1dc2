#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace Lovageloft
{

/// Splits a stream of server-sent events into the data of the events. Comments and fields other than `data:` are ignored.
class SseReader
{
public:
    /// Readable bytes after each event, as required by the JSON parser.
    static constexpr std::size_t padding = 64;

    /// Maximum bytes of an event. Limits the buffer; no chunk of an answer is that long.
    static constexpr std::size_t maxEventBytes = 4'194'304;

    /// The buffer that the connection appends to.
    std::string &buffer();

    /// The data of the next complete event; nothing if there is none. The view is valid until `compact`.
    std::optional<std::string_view> next();

    /// Removes the events that were returned from the buffer. Returns false and sets `reason` if an event exceeds the limit.
    bool compact(Reason &reason);

    /// Whether the buffer has bytes of an incomplete event.
    bool hasPartialEvent() const;

private:
    std::string buffer_;
    std::size_t position_ = 0;
};

} // namespace Lovageloft
