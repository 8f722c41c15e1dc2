#pragma once

#include <string>
#include <string_view>

namespace Lovageloft
{

/// Splits a stream of server-sent events into whole events, so that a caller never receives a partial one. An engine may fail in the middle
/// of an event; the engine that continues the stream begins with the next whole event. An event ends with "\n\n" or "\r\n\r\n"; "\r\r" is not
/// recognized. An incomplete event that is longer than any that a target should write makes the splitter overlong; nothing more may be pushed then.
class EventSplitter
{
public:
    /// Appends `bytes` and returns the events that they complete. The view is valid until the next call of push() or dropPartial().
    std::string_view push(std::string_view bytes);

    /// The `id` field of the last complete event that had one; empty if none had or if that field was empty.
    const std::string &lastId() const;

    /// Whether an incomplete event is buffered.
    bool hasPartial() const;

    /// Whether an incomplete event is too long.
    bool isOverlong() const;

    /// Drops an incomplete event, as another engine continues the stream.
    void dropPartial();

private:
    void updateLastId(std::string_view event);

    std::string buffer_;
    std::size_t returnedBytes_ = 0;
    std::string lastId_;
};

} // namespace Lovageloft
