#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace Lovageloft
{

/// Cuts a stream of server-sent events into the data of each event. Only `data:` fields are kept; comments and other
/// fields are passed over.
class SseReader
{
public:
    /// Room that stays free behind the buffer, so that a parser may read past an event's end.
    static constexpr std::size_t padding = 64;

    /// Most bytes of one event; a longer one can't be a chunk of an answer, and would grow the buffer without bound.
    static constexpr std::size_t eventLimit = 4'194'304;

    /// The buffer that the connection appends to.
    std::string &buffer();

    /// The data of the next whole event, or nothing if none is whole yet. The view holds until `compact`.
    std::optional<std::string_view> next();

    /// Drops what was read and makes room for more. False if an event is over the limit.
    bool compact(Reason &reason);

    /// Whether bytes of an unfinished event are left.
    bool hasRest() const;

private:
    std::string buffer_;
    std::size_t position_ = 0;
};

} // namespace Lovageloft
