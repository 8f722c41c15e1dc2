#pragma once

#include <string>
#include <string_view>

namespace Lovageloft
{

/// Cuts a stream of server-sent events into whole events, so that a caller never sees half of one: an engine may stop in the middle
/// of an event, and another one that carries the stream on begins with the next whole one.
class EventSplitter
{
public:
    /// Takes bytes and returns those of all events that are whole now; the view holds until the next call.
    std::string_view push(std::string_view bytes);

    /// The id of the last whole event; empty if none had one.
    const std::string &lastId() const;

    /// Whether bytes of an event wait for its end.
    bool hasPartial() const;

    /// Drops a partial event: the stream goes on elsewhere.
    void dropPartial();

private:
    void noteId(std::string_view event);

    std::string buffer_;
    std::size_t handedOut_ = 0;
    std::string lastId_;
};

} // namespace Lovageloft
